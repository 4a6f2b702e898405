package org.plantainferry.gateway.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link QueuedLineHandler}. */
public final class QueuedLineHandlerTest {
    private static final long WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private ByteArrayOutputStream mOutput;

    @BeforeMethod
    public void clearOutput() {
        mOutput = new ByteArrayOutputStream();
    }

    private static LogRecord entry(Level level, String message) {
        LogRecord entry = new LogRecord(level, message);
        entry.setInstant(Instant.parse("2026-03-04T05:06:07.089Z"));
        return entry;
    }

    @Test
    public void writesTimeLevelAndMessageInOneLine() throws InterruptedException {
        QueuedLineHandler handler = new QueuedLineHandler(mOutput, 8);
        handler.start();

        handler.publish(entry(Level.WARNING, "PF6103 store-lost"));
        handler.awaitWritten(WRITE_TIMEOUT_NANOS);

        assertEquals(
                mOutput.toString(StandardCharsets.UTF_8),
                "2026-03-04T05:06:07.089Z WARN PF6103 store-lost\n");
    }

    @Test
    public void writesTheStackTraceOfAnError() throws InterruptedException {
        QueuedLineHandler handler = new QueuedLineHandler(mOutput, 8);
        handler.start();
        LogRecord entry = entry(Level.SEVERE, "failed");
        entry.setThrown(new IllegalStateException("the reason"));

        handler.publish(entry);
        handler.awaitWritten(WRITE_TIMEOUT_NANOS);

        String written = mOutput.toString(StandardCharsets.UTF_8);
        assertTrue(written.contains(" ERROR failed\n"), written);
        assertTrue(written.contains("IllegalStateException: the reason"), written);
    }

    @Test(timeOut = 20_000)
    public void neverBlocksWhileTheOutputIsSlowAndCountsWhatItDrops() throws InterruptedException {
        CountDownLatch released = new CountDownLatch(1);
        OutputStream slow =
                new OutputStream() {
                    @Override
                    public void write(int octet) {
                        mOutput.write(octet);
                    }

                    @Override
                    public void write(byte[] octets, int from, int length) {
                        awaitQuietly(released);
                        mOutput.write(octets, from, length);
                    }
                };
        QueuedLineHandler handler = new QueuedLineHandler(slow, 8);
        handler.start();

        for (int line = 0; line < 100; line++) {
            handler.publish(entry(Level.INFO, "line " + line));
        }
        released.countDown();
        handler.awaitWritten(WRITE_TIMEOUT_NANOS);
        handler.publish(entry(Level.INFO, "last"));
        handler.awaitWritten(WRITE_TIMEOUT_NANOS);

        String written = mOutput.toString(StandardCharsets.UTF_8);
        assertTrue(written.contains("line 0"), written);
        assertTrue(written.contains("dropped-lines="), written);
        assertTrue(written.lines().count() < 100, written);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
