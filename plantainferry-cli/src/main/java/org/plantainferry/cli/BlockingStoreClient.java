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

/** Waits for the answers of the store. */
final class BlockingStoreClient {
    // The store client has shorter timeouts; this one covers only a client that never answers.
    private static final long TIMEOUT_SECONDS = 15;

    private final PlatformStore mStore;

    BlockingStoreClient(PlatformStore store) {
        mStore = store;
    }

    Optional<StoreObject> get(String path) {
        return await(mStore.get(path), Verdict.NOT_RUN);
    }

    /** Writes an object; the verdict of an exception says whether it may have been written. */
    Optional<Long> put(String path, String value, WriteCondition condition) {
        return await(mStore.put(path, value, condition), Verdict.MAY_HAVE_RUN);
    }

    List<InstanceRecord> instances() {
        return await(mStore.instances(), Verdict.NOT_RUN);
    }

    private static <T> T await(CompletableFuture<T> future, Verdict lost) {
        try {
            return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof PlantainferryException known) {
                throw known;
            }
            throw storeException(String.valueOf(e.getCause()), lost, e);
        } catch (TimeoutException e) {
            throw storeException("the store does not answer", lost, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw storeException("interrupted", lost, e);
        }
    }

    private static PlantainferryException storeException(
            String reason, Verdict lost, Exception cause) {
        return new PlantainferryException(ErrorCode.STORE_UNAVAILABLE, reason, lost, 0, cause);
    }
}
