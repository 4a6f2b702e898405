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
final class FenceBoard {
    // An instance that announced a replacement and went away must not stop the group for good.
    private static final long BLOCKED_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(8);

    // The platform may carry an order out so long after its call had no answer.
    private static final long LATE_ORDER_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final LongSupplier mClock;
    private final Map<String, GroupFence> mFences = new HashMap<>();
    private final Map<String, Long> mBlockedSince = new HashMap<>();
    private final Map<String, Long> mOrderedSince = new HashMap<>();
    private final Map<String, Leader> mVerified = new HashMap<>();
    private final List<Runnable> mObservers = new ArrayList<>();
    private BiConsumer<String, String> mLeading = (service, server) -> {};

    /** Holds a server that was found to lead, and its term. */
    private record Leader(String server, long term) {}

    FenceBoard(LongSupplier clock) {
        mClock = clock;
    }

    /** Runs an action after each change. */
    void onChange(Runnable observer) {
        mObservers.add(observer);
    }

    /** Sets what receives, with the service, a server that an instance found to lead. */
    void onLeading(BiConsumer<String, String> leading) {
        mLeading = leading;
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
    void take(String service, GroupFence news) {
        GroupFence before = fence(service);
        GroupFence now = before.merge(news);
        if (now.equals(before)) {
            return;
        }
        mFences.put(service, now);
        if (now.token() != before.token() && now.blocked()) {
            mBlockedSince.put(service, mClock.getAsLong());
        }
        if (now.newestOrder().token() != before.newestOrder().token()) {
            mOrderedSince.put(service, mClock.getAsLong());
        }
        GatewayEvent.PRIMARY_FENCED.log(
                service,
                now.token(),
                now.blocked() ? "blocked" : "open",
                now.newestOrder().server(),
                now.newestOrder().term());
        mObservers.forEach(Runnable::run);
        boolean isLeading = now.newestOrder().term() > 0;
        if (isLeading && !now.newestOrder().equals(before.newestOrder())) {
            mLeading.accept(service, now.newestOrder().server());
        }
    }

    /** Returns whether an order may still be carried out, although its call had no answer. */
    boolean mayBeCarriedOut(String service, PromotionOrder order) {
        take(service, new GroupFence(0, false, order));
        long since = mOrderedSince.getOrDefault(service, mClock.getAsLong());
        return mClock.getAsLong() - since < LATE_ORDER_NANOS;
    }

    /** Releases groups whose replacement was announced long ago and has not ended. */
    void expire() {
        long now = mClock.getAsLong();
        for (Map.Entry<String, GroupFence> each : Map.copyOf(mFences).entrySet()) {
            boolean isOld =
                    now - mBlockedSince.getOrDefault(each.getKey(), now) > BLOCKED_LIFETIME_NANOS;
            if (each.getValue().blocked() && isOld) {
                GroupFence fence = each.getValue();
                take(each.getKey(), fence.withReleased(fence.token(), PromotionOrder.NONE));
            }
        }
    }

    /** Notes that a server said that it leads a group; returns whether it may be believed. */
    boolean verify(String service, String server, long term) {
        boolean isAccepted = fence(service).newestOrder().acceptsPrimary(server, term);
        if (isAccepted) {
            mVerified.put(service, new Leader(server, term));
            mObservers.forEach(Runnable::run);
        }
        return isAccepted;
    }

    /** Returns whether a server has to be asked whether it leads, before it is used as primary. */
    boolean needsVerification(String service, String server) {
        boolean isConstrained = !fence(service).newestOrder().server().isEmpty();
        return isConstrained && !leader(service).equals(Optional.of(server));
    }

    /** Returns the server that is known to lead a group which had a replacement. */
    private Optional<String> leader(String service) {
        PromotionOrder succession = fence(service).newestOrder();
        Leader verified = mVerified.get(service);
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
    Map<String, String> onlyPrimaries() {
        Map<String, String> only = new HashMap<>();
        Set<String> services = new HashSet<>(mFences.keySet());
        for (String service : services) {
            GroupFence fence = fence(service);
            if (fence.blocked()) {
                only.put(service, "");
            } else if (!fence.newestOrder().server().isEmpty()) {
                only.put(service, leader(service).orElse(""));
            }
        }
        return only;
    }
}
