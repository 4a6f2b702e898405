package org.plantainferry.cli;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.network.store.PlatformStore;
import org.plantainferry.network.store.StoreObject;
import org.plantainferry.network.store.WriteCondition;

/**
 * Calls the platform's store and blocks until it answers.
 *
 * <p>Methods throw a {@link PlantainferryException} with {@code STORE_UNAVAILABLE} when the store
 * does not answer in time.
 */
final class BlockingStoreClient {
    // Longer than the timeouts of the store client; applies only if its future never completes.
    private static final long TIMEOUT_SECONDS = 15;

    private final PlatformStore mStore;

    BlockingStoreClient(PlatformStore store) {
        mStore = store;
    }

    /** Reads an object; empty when there is none. */
    Optional<StoreObject> get(String path) {
        return await(mStore.get(path), Verdict.NOT_RUN);
    }

    /**
     * Writes an object if the condition holds.
     *
     * @return the new version; empty when the condition did not hold and nothing was written
     * @throws PlantainferryException when the store did not answer; its verdict says whether the
     *     object may have been written
     */
    Optional<Long> put(String path, String value, WriteCondition condition) {
        return await(mStore.put(path, value, condition), Verdict.MAY_HAVE_RUN);
    }

    /** Reads the platform's list of instances. */
    List<InstanceRecord> instances() {
        return await(mStore.instances(), Verdict.NOT_RUN);
    }

    private static <T> T await(CompletableFuture<T> future, Verdict verdict) {
        try {
            return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof PlantainferryException cause) {
                throw cause;
            }
            throw storeException(String.valueOf(e.getCause()), verdict, e);
        } catch (TimeoutException e) {
            throw storeException("the store does not answer", verdict, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw storeException("interrupted", verdict, e);
        }
    }

    private static PlantainferryException storeException(
            String reason, Verdict verdict, Exception cause) {
        return new PlantainferryException(ErrorCode.STORE_UNAVAILABLE, reason, verdict, 0, cause);
    }
}
