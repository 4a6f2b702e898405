import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start of the case. */
final class Record {
    private final PrintWriter mWriter;
    private final long mStartedNanos = System.nanoTime();

    Record(Path directory) throws IOException {
        mWriter =
                new PrintWriter(
                        Files.newBufferedWriter(
                                directory.resolve("record.txt"), StandardCharsets.UTF_8),
                        true);
    }

    double seconds() {
        return (System.nanoTime() - mStartedNanos) / 1e9;
    }

    synchronized void line(String who, String what) {
        mWriter.printf("%8.3f %-10s %s%n", seconds(), who, what);
    }

    /** Writes a line that also goes to the standard output. */
    synchronized void say(String what) {
        line("case", what);
        System.out.printf("%8.3f %s%n", seconds(), what);
    }
}
