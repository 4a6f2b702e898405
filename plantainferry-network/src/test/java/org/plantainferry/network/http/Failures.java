package org.plantainferry.network.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;

/** Checks how futures fail. */
public final class Failures {
    private static final long WAIT_SECONDS = 10;

    private Failures() {}

    /** Waits for a future and returns its value. */
    public static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Checks that a future fails with a verdict, and returns the exception. */
    public static PlantainferryException failsWith(CompletableFuture<?> future, Verdict verdict) {
        ExecutionException error = expectThrows(ExecutionException.class, () -> await(future));
        PlantainferryException cause = (PlantainferryException) error.getCause();
        assertEquals(cause.verdict(), verdict, cause.getMessage());
        return cause;
    }
}
