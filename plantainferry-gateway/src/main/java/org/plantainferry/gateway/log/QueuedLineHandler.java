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
 * Writes log records as lines without ever blocking the thread that logs.
 *
 * <p>Records wait in a queue for a thread of its own. While the queue is full, because the output
 * is slow, records are dropped; their number is written with the next line.
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

    /** Begins to write; records that were published before are kept. */
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
            // Nobody interrupts this thread but the end of the process.
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a record, and those that wait behind it, with one call to the system. */
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
            // Standard output is gone, and there is no other place to say so.
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

    /** Waits until all that was published so far is written. */
    void awaitWritten(long longestNanos) throws InterruptedException {
        long accepted = mAccepted.get();
        long started = System.nanoTime();
        while (mWritten < accepted && System.nanoTime() - started < longestNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void flush() {
        // Each batch is written through.
    }

    @Override
    public void close() {
        // The writer is a daemon thread and ends with the process.
    }
}
