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
 * Remembers for each group whether it is about to get another primary, and which server may lead.
 *
 * <p>Used by the control thread only.
 */
final class FenceRegistry {
    // An instance that announced a replacement and went away must not stop the group for good.
    private static final long MAX_BLOCKED_NANOS = TimeUnit.SECONDS.toNanos(8);

    // The platform may carry an order out so long after its call had no answer.
    private static final long MAX_ORDER_DELAY_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final LongSupplier mClock;
    private final Map<String, GroupFence> mFences = new HashMap<>();
    private final Map<String, Long> mBlockedSinceNanos = new HashMap<>();
    private final Map<String, Long> mOrderSeenNanos = new HashMap<>();
    private final Map<String, VerifiedPrimary> mVerifiedPrimaries = new HashMap<>();
    private final List<Runnable> mChangeListeners = new ArrayList<>();
    private BiConsumer<String, String> mPrimaryListener = (service, server) -> {};

    /** Holds a server that was found to lead, and its term. */
    private record VerifiedPrimary(String server, long term) {}

    FenceRegistry(LongSupplier clock) {
        mClock = clock;
    }

    /** Runs an action after each change. */
    void addChangeListener(Runnable observer) {
        mChangeListeners.add(observer);
    }

    /** Sets what receives, with the service, a server that an instance found to lead. */
    void setPrimaryListener(BiConsumer<String, String> leading) {
        mPrimaryListener = leading;
    }

    /** Returns what is known of a group. */
    GroupFence fence(String service) {
        return mFences.getOrDefault(service, GroupFence.NONE);
    }

    /** Returns all that is known. */
    Map<String, GroupFence> fences() {
        return mFences;
    }

    /** Takes over what another instance or the store says. */
    void merge(String service, GroupFence news) {
        GroupFence before = fence(service);
        GroupFence now = before.merge(news);
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
        boolean isLeading = now.newestOrder().term() > 0;
        if (isLeading && !now.newestOrder().equals(before.newestOrder())) {
            mPrimaryListener.accept(service, now.newestOrder().server());
        }
    }

    /** Returns whether an order may still be carried out, although its call had no answer. */
    boolean mayStillBeExecuted(String service, PromotionOrder order) {
        merge(service, new GroupFence(0, false, order));
        long since = mOrderSeenNanos.getOrDefault(service, mClock.getAsLong());
        return mClock.getAsLong() - since < MAX_ORDER_DELAY_NANOS;
    }

    /** Releases groups whose replacement was announced long ago and has not ended. */
    void expire() {
        long now = mClock.getAsLong();
        for (Map.Entry<String, GroupFence> each : Map.copyOf(mFences).entrySet()) {
            boolean isOld =
                    now - mBlockedSinceNanos.getOrDefault(each.getKey(), now) > MAX_BLOCKED_NANOS;
            if (each.getValue().blocked() && isOld) {
                GroupFence fence = each.getValue();
                merge(each.getKey(), fence.withReleased(fence.token(), PromotionOrder.NONE));
            }
        }
    }

    /** Notes that a server said that it leads a group; returns whether it may be believed. */
    boolean verifyPrimary(String service, String server, long term) {
        boolean isAccepted = fence(service).newestOrder().acceptsPrimary(server, term);
        if (isAccepted) {
            mVerifiedPrimaries.put(service, new VerifiedPrimary(server, term));
            mChangeListeners.forEach(Runnable::run);
        }
        return isAccepted;
    }

    /** Returns whether a server has to be asked whether it leads, before it is used as primary. */
    boolean needsVerification(String service, String server) {
        boolean isConstrained = !fence(service).newestOrder().server().isEmpty();
        return isConstrained && !knownPrimary(service).equals(Optional.of(server));
    }

    /** Returns the server that is known to lead a group which had a replacement. */
    private Optional<String> knownPrimary(String service) {
        PromotionOrder succession = fence(service).newestOrder();
        VerifiedPrimary verified = mVerifiedPrimaries.get(service);
        boolean isVerified =
                verified != null && succession.acceptsPrimary(verified.server, verified.term);
        boolean isNewer = isVerified && verified.term >= succession.term();
        if (isNewer) {
            return Optional.of(verified.server);
        }
        return succession.isPending() ? Optional.empty() : Optional.of(succession.server());
    }

    /**
     * Returns the only server that may be used as primary, for each group where not every one may.
     *
     * <p>An empty name says that none may.
     */
    Map<String, String> allowedPrimaries() {
        Map<String, String> only = new HashMap<>();
        Set<String> services = new HashSet<>(mFences.keySet());
        for (String service : services) {
            GroupFence fence = fence(service);
            if (fence.blocked()) {
                only.put(service, "");
            } else if (!fence.newestOrder().server().isEmpty()) {
                only.put(service, knownPrimary(service).orElse(""));
            }
        }
        return only;
    }
}
