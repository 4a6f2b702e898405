package org.plantainferry.cli;

import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;

/** Provides time, so that tests need not wait. */
interface TimeSource {
    /** Uses the clock of the machine. */
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

    /** Returns a monotonic time. */
    long nowNanos();

    /** Waits. */
    void sleepMillis(long millis);
}
