package org.plantainferry.cli.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the newest log line about each subject of the state that an instance knows.
 *
 * <p>A subject is the configuration, the store feed of one kind of object, the restoration of the
 * store, the list of instances, a server, the room at a server, the waits of statements of one
 * priority, or the replacement of a service's primary.
 *
 * @since 0.2
 */
final class KnownStateLog {
    private static final Set<String> STORE_CODES = Set.of("PF6103", "PF6104");
    private static final Set<String> REPLACEMENT_CODES =
            Set.of("PF6201", "PF6202", "PF6203", "PF6204", "PF6215");

    /** The events about a store that was restored from a copy. */
    private static final Set<String> RESTORATION_CODES = Set.of("PF6115", "PF6118");

    /** The events about a thread that gets too little processor time. */
    private static final Set<String> PROCESSOR_CODES = Set.of("PF6340", "PF6341");

    private static final String CONFIGURATION_CODE = "PF6101";
    private static final String SERVER_CODE = "PF6105";
    private static final String INSTANCES_CODE = "PF6106";
    private static final String WAITS_CODE = "PF6330";

    /** The events about the room at one server. */
    private static final Set<String> ROOM_CODES = Set.of("PF6310", "PF6320");

    private final Map<String, LogLine> mNewestLines = new LinkedHashMap<>();

    /** Adds a line and replaces the previous one on its subject; ignores lines on other events. */
    void add(LogLine line) {
        String subject = subject(line);
        if (!subject.isEmpty()) {
            // Removed first, so that the map is ordered by the last change.
            mNewestLines.remove(subject);
            mNewestLines.put(subject, line);
        }
    }

    private static String subject(LogLine line) {
        if (STORE_CODES.contains(line.code())) {
            return "store " + line.field("feed");
        }
        if (RESTORATION_CODES.contains(line.code())) {
            return line.code();
        }
        if (REPLACEMENT_CODES.contains(line.code())) {
            return "replacement " + line.field("service");
        }
        if (PROCESSOR_CODES.contains(line.code())) {
            return "processor " + line.field("thread");
        }
        if (ROOM_CODES.contains(line.code())) {
            return line.code() + " " + line.field("server");
        }
        return switch (line.code()) {
            case WAITS_CODE -> "waits " + line.field("priority");
            case CONFIGURATION_CODE -> "configuration";
            case INSTANCES_CODE -> "instances";
            case SERVER_CODE -> "server " + line.field("id");
            default -> "";
        };
    }

    /**
     * Returns the lines that are relevant to a request, with the oldest change first. Lines on
     * servers and replacements are included only for the given servers and services.
     *
     * @param servers ids of the servers that the request was sent to
     * @param services names of the services that the request was for
     */
    List<LogLine> linesFor(Set<String> servers, Set<String> services) {
        List<LogLine> lines = new ArrayList<>();
        for (LogLine line : mNewestLines.values()) {
            boolean isServerLine = line.code().equals(SERVER_CODE);
            boolean concernsRequest =
                    servers.contains(line.field("id")) || services.contains(line.field("service"));
            boolean isReplacementLine = REPLACEMENT_CODES.contains(line.code());
            boolean concernsOther = concernsOtherServer(line, servers, services);
            if (!concernsOther && ((!isServerLine && !isReplacementLine) || concernsRequest)) {
                lines.add(line);
            }
        }
        return lines;
    }

    private boolean concernsOtherServer(LogLine line, Set<String> servers, Set<String> services) {
        String server = line.field("server");
        return ROOM_CODES.contains(line.code())
                && !servers.contains(server)
                && !services.contains(serviceOf(server));
    }

    /** Returns the service of a server; empty when the log has not named it yet. */
    String serviceOf(String server) {
        LogLine line = mNewestLines.get("server " + server);
        return line == null ? "" : line.field("service");
    }
}
