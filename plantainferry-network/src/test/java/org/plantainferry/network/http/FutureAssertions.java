package org.plantainferry.network.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;

/** Checks how futures fail. */
public final class FutureAssertions {
    private static final long TIMEOUT_SECONDS = 10;

    private FutureAssertions() {}

    /** Waits for a future and returns its value. */
    public static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Checks that a future fails with a verdict, and returns the exception. */
    public static PlantainferryException assertFailsWith(
            CompletableFuture<?> future, Verdict verdict) {
        ExecutionException error = expectThrows(ExecutionException.class, () -> await(future));
        PlantainferryException cause = (PlantainferryException) error.getCause();
        assertEquals(cause.verdict(), verdict, cause.getMessage());
        return cause;
    }
}
