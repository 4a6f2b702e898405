package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter mWriter;
    private final long mStartNanos = System.nanoTime();

    Record(Path file) throws IOException {
        mWriter = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    synchronized void line(String text) {
        mWriter.printf("%8.3f %s%n", seconds(), text);
    }

    synchronized void note(String text) {
        line(text);
        System.out.printf("%8.3f %s%n", seconds(), text);
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
