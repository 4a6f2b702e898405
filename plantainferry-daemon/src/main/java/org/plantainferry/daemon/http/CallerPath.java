package org.plantainferry.daemon.http;

import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServiceName;
import org.plantainferry.daemon.traffic.Operation;

/**
 * Holds what the path of a caller's request says.
 *
 * @param operation the operation
 * @param parseService the service; empty on open routes
 * @param openRoute the name of the open route; empty on other paths
 * @param transaction the transaction; empty outside transactions
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

    static CallerPath parse(String path) {
        String[] parts = path.split("/", -1);
        if (parts.length < OPEN_ROUTE_SEGMENTS
                || !parts[0].isEmpty()
                || !parts[1].equals(VERSION)) {
            throw notFound(path);
        }
        if (parts[2].equals("open") && parts.length == OPEN_ROUTE_SEGMENTS) {
            return new CallerPath(
                    Operation.STATEMENT, Optional.empty(), Optional.of(parts[3]), Optional.empty());
        }
        if (!parts[2].equals("services")) {
            throw notFound(path);
        }
        Optional<ServiceName> service = Optional.of(parseService(parts[3]));
        if (parts.length == SERVICE_SEGMENTS && parts[4].equals("statements")) {
            return new CallerPath(Operation.STATEMENT, service, Optional.empty(), Optional.empty());
        }
        if (parts.length == SERVICE_SEGMENTS && parts[4].equals("transactions")) {
            return new CallerPath(Operation.BEGIN, service, Optional.empty(), Optional.empty());
        }
        if (parts.length == TRANSACTION_SEGMENTS && parts[4].equals("transactions")) {
            return new CallerPath(
                    transactionOperation(path, parts[6]),
                    service,
                    Optional.empty(),
                    Optional.of(parts[5]));
        }
        throw notFound(path);
    }

    private static Operation transactionOperation(String path, String last) {
        return switch (last) {
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
