package org.plantainferry.gateway.spi;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and writes claims to replace primaries in the platform's store.
 *
 * @since 0.2
 */
public interface ClaimStore {
    /** Reads all claims, by service; services without a claim are missing. */
    CompletableFuture<StoreAnswer<Map<String, PromotionClaim>>> readAll();

    /** Reads the claim of a service; empty if there is none. */
    CompletableFuture<StoreAnswer<Optional<StoredClaim>>> read(String service);

    /**
     * Writes a claim if the store still holds the expected version.
     *
     * @param expectedVersion the version to replace; empty to create the claim
     * @return whether the claim was written; false if the stored version differs. Versions are
     *     given out again in another epoch, so a claim that was written in another epoch than the
     *     expected version was read in may have replaced one that was never read
     */
    CompletableFuture<StoreAnswer<Boolean>> write(
            String service, Optional<Long> expectedVersion, PromotionClaim claim);
}
