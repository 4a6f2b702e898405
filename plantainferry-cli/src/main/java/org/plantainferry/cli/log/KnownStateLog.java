package org.plantainferry.cli.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the newest line about each thing that an instance believes.
 *
 * <p>A thing is the configuration, the connection to the store for one kind of object, the list of
 * instances, a server, or the replacement of a service's primary.
 *
 * @since 0.2
 */
final class KnownStateLog {
    private static final Set<String> STORE_CODES = Set.of("PF6103", "PF6104");
    private static final Set<String> REPLACEMENT_CODES =
            Set.of("PF6201", "PF6202", "PF6203", "PF6204");
    private static final String CONFIGURATION_CODE = "PF6101";
    private static final String SERVER_CODE = "PF6105";
    private static final String INSTANCES_CODE = "PF6106";

    private final Map<String, LogLine> mNewestLines = new LinkedHashMap<>();

    /** Takes over a line, if it changes what the instance believes. */
    void add(LogLine line) {
        String thing = subject(line);
        if (!thing.isEmpty()) {
            // Removed first, so that the order is that of the last change.
            mNewestLines.remove(thing);
            mNewestLines.put(thing, line);
        }
    }

    private static String subject(LogLine line) {
        if (STORE_CODES.contains(line.code())) {
            return "store " + line.field("feed");
        }
        if (REPLACEMENT_CODES.contains(line.code())) {
            return "replacement " + line.field("service");
        }
        return switch (line.code()) {
            case CONFIGURATION_CODE -> "configuration";
            case INSTANCES_CODE -> "instances";
            case SERVER_CODE -> "server " + line.field("id");
            default -> "";
        };
    }

    /**
     * Returns the lines that matter for requests to some servers, oldest change first.
     *
     * @param servers ids of servers that the request was sent to
     * @param services services that the request was meant for
     */
    List<LogLine> linesFor(Set<String> servers, Set<String> services) {
        List<LogLine> lines = new ArrayList<>();
        for (LogLine line : mNewestLines.values()) {
            boolean isServer = line.code().equals(SERVER_CODE);
            boolean isOfRequest =
                    servers.contains(line.field("id")) || services.contains(line.field("service"));
            boolean isReplacement = REPLACEMENT_CODES.contains(line.code());
            if ((!isServer && !isReplacement) || isOfRequest) {
                lines.add(line);
            }
        }
        return lines;
    }

    /** Returns the service of a server as far as the log has named it. */
    String serviceOf(String server) {
        LogLine line = mNewestLines.get("server " + server);
        return line == null ? "" : line.field("service");
    }
}
