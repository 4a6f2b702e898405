package org.plantainferry.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.log.GatewayEvent;

/**
 * Stores for each group whether its primary is being replaced and which server may be the primary.
 *
 * <p>Used by the control thread only.
 */
final class FenceRegistry {
    // An instance that announced a replacement and then failed must not block the group forever.
    private static final long MAX_BLOCKED_NANOS = TimeUnit.SECONDS.toNanos(8);

    // The platform may execute an order up to this long after a call without an answer.
    private static final long MAX_ORDER_DELAY_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final LongSupplier mClock;
    private final Map<String, GroupFence> mFences = new HashMap<>();
    private final Map<String, Long> mBlockedSinceNanos = new HashMap<>();
    private final Map<String, Long> mOrderSeenNanos = new HashMap<>();
    private final Map<String, VerifiedPrimary> mVerifiedPrimaries = new HashMap<>();
    private final List<Runnable> mChangeListeners = new ArrayList<>();
    private BiConsumer<String, String> mPrimaryListener = (service, server) -> {};

    /** Represents a server that was verified to be the primary, with its term. */
    private record VerifiedPrimary(String server, long term) {}

    FenceRegistry(LongSupplier clock) {
        mClock = clock;
    }

    /** Adds a listener that runs after each change. */
    void addChangeListener(Runnable listener) {
        mChangeListeners.add(listener);
    }

    /**
     * Sets the listener for new primaries.
     *
     * @param primaryListener receives the service and the id of the server that is its primary
     */
    void setPrimaryListener(BiConsumer<String, String> primaryListener) {
        mPrimaryListener = primaryListener;
    }

    /** Returns the replacement state of a group; {@link GroupFence#NONE} if none is known. */
    GroupFence fence(String service) {
        return mFences.getOrDefault(service, GroupFence.NONE);
    }

    /** Returns the replacement states of all groups, by service. */
    Map<String, GroupFence> fences() {
        return mFences;
    }

    /** Merges the replacement state that another instance or the store reported. */
    void merge(String service, GroupFence reported) {
        GroupFence before = fence(service);
        GroupFence now = before.merge(reported);
        if (now.equals(before)) {
            return;
        }
        mFences.put(service, now);
        if (now.token() != before.token() && now.blocked()) {
            mBlockedSinceNanos.put(service, mClock.getAsLong());
        }
        if (now.newestOrder().token() != before.newestOrder().token()) {
            mOrderSeenNanos.put(service, mClock.getAsLong());
        }
        GatewayEvent.PRIMARY_FENCED.log(
                service,
                now.token(),
                now.blocked() ? "blocked" : "open",
                now.newestOrder().server(),
                now.newestOrder().term());
        mChangeListeners.forEach(Runnable::run);
        boolean hasPrimary = now.newestOrder().term() > 0;
        if (hasPrimary && !now.newestOrder().equals(before.newestOrder())) {
            mPrimaryListener.accept(service, now.newestOrder().server());
        }
    }

    /**
     * Returns whether an order whose call had no answer may still be executed.
     *
     * <p>The order is registered if it was not known; its time starts then.
     */
    boolean mayStillBeExecuted(String service, PromotionOrder order) {
        merge(service, new GroupFence(0, false, order));
        long seenNanos = mOrderSeenNanos.getOrDefault(service, mClock.getAsLong());
        return mClock.getAsLong() - seenNanos < MAX_ORDER_DELAY_NANOS;
    }

    /** Releases groups whose replacement has not ended in time. */
    void expire() {
        long now = mClock.getAsLong();
        for (Map.Entry<String, GroupFence> entry : Map.copyOf(mFences).entrySet()) {
            boolean isOld =
                    now - mBlockedSinceNanos.getOrDefault(entry.getKey(), now) > MAX_BLOCKED_NANOS;
            if (entry.getValue().blocked() && isOld) {
                GroupFence fence = entry.getValue();
                merge(entry.getKey(), fence.withReleased(fence.token(), PromotionOrder.NONE));
            }
        }
    }

    /**
     * Checks the claim of a server to be the primary and records the server if the claim is valid.
     *
     * @param term the term that the server reports
     * @return whether the server is accepted as the primary
     */
    boolean verifyPrimary(String service, String server, long term) {
        boolean isAccepted = fence(service).newestOrder().acceptsPrimary(server, term);
        if (isAccepted) {
            mVerifiedPrimaries.put(service, new VerifiedPrimary(server, term));
            mChangeListeners.forEach(Runnable::run);
        }
        return isAccepted;
    }

    /** Returns whether a server must be verified before it is used as the primary. */
    boolean needsVerification(String service, String server) {
        boolean isConstrained = !fence(service).newestOrder().server().isEmpty();
        return isConstrained && !knownPrimary(service).equals(Optional.of(server));
    }

    /**
     * Returns the known primary of a group that had a replacement; empty if its order is pending.
     */
    private Optional<String> knownPrimary(String service) {
        PromotionOrder newestOrder = fence(service).newestOrder();
        VerifiedPrimary verified = mVerifiedPrimaries.get(service);
        boolean isVerified =
                verified != null && newestOrder.acceptsPrimary(verified.server, verified.term);
        boolean isNewer = isVerified && verified.term >= newestOrder.term();
        if (isNewer) {
            return Optional.of(verified.server);
        }
        return newestOrder.isPending() ? Optional.empty() : Optional.of(newestOrder.server());
    }

    /**
     * Returns, by service, the only server that may be used as the primary.
     *
     * <p>An empty id means that no server may be used. Groups without a restriction are missing.
     */
    Map<String, String> allowedPrimaries() {
        Map<String, String> allowed = new HashMap<>();
        Set<String> services = new HashSet<>(mFences.keySet());
        for (String service : services) {
            GroupFence fence = fence(service);
            if (fence.blocked()) {
                allowed.put(service, "");
            } else if (!fence.newestOrder().server().isEmpty()) {
                allowed.put(service, knownPrimary(service).orElse(""));
            }
        }
        return allowed;
    }
}
