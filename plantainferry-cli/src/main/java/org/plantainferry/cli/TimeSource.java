package org.plantainferry.cli;

import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;

/** Provides the time and sleeps; tests replace it to run without delay. */
interface TimeSource {
    /** Uses the system clock. */
    TimeSource SYSTEM =
            new TimeSource() {
                @Override
                public long nowNanos() {
                    return System.nanoTime();
                }

                @Override
                public void sleepMillis(long millis) {
                    try {
                        TimeUnit.MILLISECONDS.sleep(millis);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        throw new PlantainferryException(ErrorCode.INTERNAL, "interrupted", e);
                    }
                }
            };

    /** Returns a monotonic time in nanoseconds, with an arbitrary origin. */
    long nowNanos();

    /**
     * Sleeps for a time in milliseconds.
     *
     * @throws PlantainferryException with {@code INTERNAL} when the thread is interrupted
     */
    void sleepMillis(long millis);
}
