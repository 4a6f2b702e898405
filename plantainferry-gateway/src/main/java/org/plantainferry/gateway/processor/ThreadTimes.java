package org.plantainferry.gateway.processor;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the processor time that the threads of this process have taken, by what they do.
 *
 * <p>Reads the files of the operating system, because the management beans of the platform take
 * longer to start than the gateway. On systems without these files nothing is returned.
 */
public final class ThreadTimes {
    private static final Path TASKS = Path.of("/proc/self/task");
    private static final long MILLIS_PER_TICK = 10;
    // Counted from the field behind the name, which may contain blanks.
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;

    /** Names what a thread does. */
    public enum Work {
        /** Exchanges with other instances and the store. */
        CONTROL("control"),
        /** Serves sessions and connections to servers. */
        TRAFFIC("traffic"),
        /** Compiles methods. */
        COMPILER("C"),
        /** All the rest: start of the process, operators' endpoint, memory, logs. */
        OTHER("");

        private final String mPrefix;

        Work(String prefix) {
            mPrefix = prefix;
        }

        private static Work of(String thread) {
            if (thread.startsWith(CONTROL.mPrefix)) {
                return CONTROL;
            }
            if (thread.startsWith(TRAFFIC.mPrefix)) {
                return TRAFFIC;
            }
            boolean isCompiler = thread.startsWith(COMPILER.mPrefix) && thread.contains("Compiler");
            return isCompiler ? COMPILER : OTHER;
        }
    }

    private ThreadTimes() {}

    /** Returns the processor time by kind of work, in milliseconds; empty where it is unknown. */
    public static Map<Work, Long> readMillis() {
        Map<Work, Long> times = new EnumMap<>(Work.class);
        if (!Files.isDirectory(TASKS)) {
            return times;
        }
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(TASKS)) {
            for (Path task : tasks) {
                readStatus(task).ifPresent(status -> addStatus(times, status));
            }
        } catch (IOException e) {
            // What was read until then is still right, only incomplete.
            return times;
        }
        return times;
    }

    private static Optional<String> readStatus(Path task) {
        try {
            return Optional.of(Files.readString(task.resolve("stat")));
        } catch (IOException e) {
            // The thread has ended meanwhile.
            return Optional.empty();
        }
    }

    static void addStatus(Map<Work, Long> times, String status) {
        int nameEnd = status.lastIndexOf(')');
        String name = status.substring(status.indexOf('(') + 1, nameEnd);
        String[] fields = status.substring(nameEnd + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TICKS_FIELD])
                        + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
        times.merge(Work.of(name), ticks * MILLIS_PER_TICK, Long::sum);
    }
}
