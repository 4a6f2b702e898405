package org.plantainferry.gateway.traffic;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads how many file descriptors the operating system gives to the process. */
final class FileDescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String NAME = "Max open files";
    private static final long USUAL_LIMIT = 1_024;
    private static final long UNLIMITED = 1_000_000;

    private FileDescriptorLimit() {}

    /** Returns the limit; a usual one if the operating system does not tell it. */
    static long read() {
        try {
            return Files.readAllLines(LIMITS).stream()
                    .filter(line -> line.startsWith(NAME))
                    .map(line -> line.substring(NAME.length()).trim().split(" ")[0])
                    .mapToLong(FileDescriptorLimit::parse)
                    .findFirst()
                    .orElse(USUAL_LIMIT);
        } catch (IOException e) {
            // Another operating system.
            return USUAL_LIMIT;
        }
    }

    private static long parse(String text) {
        try {
            return Math.min(UNLIMITED, Long.parseLong(text));
        } catch (NumberFormatException e) {
            return UNLIMITED;
        }
    }
}
