package org.plantainferry.daemon.http;

import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServiceName;
import org.plantainferry.daemon.traffic.Operation;

/**
 * Holds the parsed path of a caller's request.
 *
 * @param operation the requested operation
 * @param parseService the service; empty on open routes
 * @param openRoute the name of the open route; empty on other paths
 * @param transaction the identifier of the transaction; empty outside transactions
 */
record CallerPath(
        Operation operation,
        Optional<ServiceName> parseService,
        Optional<String> openRoute,
        Optional<String> transaction) {
    private static final String VERSION = "v1";
    private static final int OPEN_ROUTE_SEGMENTS = 4;
    private static final int SERVICE_SEGMENTS = 5;
    private static final int TRANSACTION_SEGMENTS = 7;

    /**
     * Parses a path.
     *
     * @throws PlantainferryException with {@link ErrorCode#NOT_FOUND} when there is no such path,
     *     or {@link ErrorCode#REQUEST_MALFORMED} when the service has no valid name
     */
    static CallerPath parse(String path) {
        String[] segments = path.split("/", -1);
        if (segments.length < OPEN_ROUTE_SEGMENTS
                || !segments[0].isEmpty()
                || !segments[1].equals(VERSION)) {
            throw notFound(path);
        }
        if (segments[2].equals("open") && segments.length == OPEN_ROUTE_SEGMENTS) {
            return new CallerPath(
                    Operation.STATEMENT,
                    Optional.empty(),
                    Optional.of(segments[3]),
                    Optional.empty());
        }
        if (!segments[2].equals("services")) {
            throw notFound(path);
        }
        Optional<ServiceName> service = Optional.of(parseService(segments[3]));
        if (segments.length == SERVICE_SEGMENTS && segments[4].equals("statements")) {
            return new CallerPath(Operation.STATEMENT, service, Optional.empty(), Optional.empty());
        }
        if (segments.length == SERVICE_SEGMENTS && segments[4].equals("transactions")) {
            return new CallerPath(Operation.BEGIN, service, Optional.empty(), Optional.empty());
        }
        if (segments.length == TRANSACTION_SEGMENTS && segments[4].equals("transactions")) {
            return new CallerPath(
                    transactionOperation(path, segments[6]),
                    service,
                    Optional.empty(),
                    Optional.of(segments[5]));
        }
        throw notFound(path);
    }

    private static Operation transactionOperation(String path, String action) {
        return switch (action) {
            case "statements" -> Operation.TRANSACTION_STATEMENT;
            case "commit" -> Operation.COMMIT;
            case "rollback" -> Operation.ROLLBACK;
            default -> throw notFound(path);
        };
    }

    private static ServiceName parseService(String name) {
        try {
            return new ServiceName(name);
        } catch (PlantainferryException e) {
            throw new PlantainferryException(
                    ErrorCode.REQUEST_MALFORMED, "path: " + e.getMessage(), e);
        }
    }

    private static PlantainferryException notFound(String path) {
        String shown = path.length() > 200 ? path.substring(0, 200) + "..." : path;
        return new PlantainferryException(ErrorCode.NOT_FOUND, "no such path: " + shown);
    }
}
