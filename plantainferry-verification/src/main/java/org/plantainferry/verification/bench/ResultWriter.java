package org.plantainferry.verification.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/** Writes the figures of one run to the terminal and to a file. */
final class ResultWriter implements AutoCloseable {
    private final PrintWriter mFile;

    /** Creates the file and writes when, where and how the figures were taken. */
    ResultWriter(Path file, String command) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        mFile = new PrintWriter(Files.newBufferedWriter(file));
        printLine("command: %s", command);
        printLine(
                "date: %s, %d processors, Java %s",
                Instant.now().truncatedTo(ChronoUnit.SECONDS),
                Runtime.getRuntime().availableProcessors(),
                Runtime.version());
        printLoadAverage("at the start");
    }

    /** Writes a line; numbers use a point whatever the locale. */
    void printLine(String format, Object... values) {
        String line = String.format(Locale.ROOT, format, values);
        System.out.println(line);
        mFile.println(line);
        mFile.flush();
    }

    /** Writes the load average of the machine, which other work shares. */
    void printLoadAverage(String when) {
        printLine(
                "load average %s: %.1f",
                when, ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    @Override
    public void close() {
        printLoadAverage("at the end");
        mFile.close();
    }
}
