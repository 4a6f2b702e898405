package org.plantainferry.gateway.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log records as lines asynchronously, without ever blocking the logging thread.
 *
 * <p>Records are queued for a dedicated writer thread. While the queue is full because the output
 * is slow, records are dropped, and their number is written with the next line.
 */
final class QueuedLineHandler extends Handler {
    private static final long POLL_MILLIS = 5;
    private static final int BATCH_CHARACTERS = 16_384;

    private final OutputStream mOutput;
    private final BlockingQueue<LogRecord> mQueue;
    private final AtomicLong mAccepted = new AtomicLong();
    private final AtomicLong mDropped = new AtomicLong();
    private volatile long mWritten;

    QueuedLineHandler(OutputStream output, int queueLines) {
        mOutput = output;
        mQueue = new ArrayBlockingQueue<>(queueLines);
        setFormatter(new LineFormatter());
    }

    /**
     * Starts the writer thread. Records published earlier are already queued and are written too.
     */
    void start() {
        Thread writer = new Thread(this::writeLoop, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        mAccepted.incrementAndGet();
        if (!mQueue.offer(entry)) {
            mAccepted.decrementAndGet();
            mDropped.incrementAndGet();
        }
    }

    private void writeLoop() {
        try {
            while (true) {
                writeBatch(mQueue.take());
            }
        } catch (InterruptedException e) {
            // This thread is interrupted only when the process ends.
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a record and those queued behind it in one system call. */
    private void writeBatch(LogRecord first) {
        StringBuilder lines = new StringBuilder();
        int count = 0;
        LogRecord next = first;
        while (next != null) {
            append(lines, next);
            count++;
            next = lines.length() < BATCH_CHARACTERS ? mQueue.poll() : null;
        }
        try {
            mOutput.write(lines.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // The output is unavailable, and there is nowhere else to report the failure.
            mDropped.addAndGet(count);
        }
        mWritten += count;
    }

    private void append(StringBuilder lines, LogRecord entry) {
        lines.append(getFormatter().format(entry));
        long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            lines.append(" dropped-lines=").append(dropped);
        }
        lines.append('\n');
    }

    /** Waits until every record accepted so far is written, or until the timeout elapses. */
    void awaitWritten(long timeoutNanos) throws InterruptedException {
        long accepted = mAccepted.get();
        long started = System.nanoTime();
        while (mWritten < accepted && System.nanoTime() - started < timeoutNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void flush() {
        // The writer thread writes each batch directly to the output.
    }

    @Override
    public void close() {
        // The writer is a daemon thread and ends with the process.
    }
}
