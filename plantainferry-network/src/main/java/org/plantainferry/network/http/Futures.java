package org.plantainferry.network.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

/**
 * Derives futures that fail with the original exception, not wrapped in another one.
 *
 * @since 0.1
 */
public final class Futures {
    private Futures() {}

    /** Returns a future of the converted value; an exception of the conversion fails it. */
    public static <T, R> CompletableFuture<R> map(
            CompletableFuture<T> source, Function<? super T, ? extends R> conversion) {
        CompletableFuture<R> result = new CompletableFuture<>();
        source.whenComplete(
                (value, error) -> {
                    if (error != null) {
                        result.completeExceptionally(unwrap(error));
                        return;
                    }
                    try {
                        result.complete(conversion.apply(value));
                    } catch (RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    /** Returns the exception with which a future failed in the first place. */
    public static Throwable unwrap(Throwable error) {
        Throwable cause = error;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }
}
