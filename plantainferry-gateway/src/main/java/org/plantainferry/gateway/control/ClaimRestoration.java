package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.PromotionClaim;
import org.plantainferry.gateway.spi.StoreAnswer;
import org.plantainferry.gateway.spi.StoredClaim;
import org.plantainferry.network.http.Futures;

/**
 * Writes the promotion orders to the store again that it has lost.
 *
 * <p>Instances that start later, or that only reach the store, know from the claims alone which
 * server may be the primary of a group. Only an instance that follows the store writes them. Claims
 * are compared several times after a restoration, because another instance may take over the
 * following of the store meanwhile. Used by the control thread only.
 */
final class ClaimRestoration implements StoreEpochTracker.Listener {
    private static final int ROUNDS = 3;
    private static final long ROUND_MILLIS = 700;

    private final EventLoop mLoop;
    private final String mHolder;
    private final ClaimStore mClaims;
    private final FenceRegistry mFences;
    private final FencingTokenSource mTokens;
    private final StoreEpochTracker mEpochs;
    private final BooleanSupplier mFollowsStore;

    /**
     * Creates a restoration that waits for the store to be restored.
     *
     * @param holder the name under which this instance claims groups
     * @param followsStore returns whether this instance follows the store
     */
    ClaimRestoration(
            EventLoop loop,
            String holder,
            ClaimStore claims,
            FenceRegistry fences,
            FencingTokenSource tokens,
            StoreEpochTracker epochs,
            BooleanSupplier followsStore) {
        mLoop = loop;
        mHolder = holder;
        mClaims = claims;
        mFences = fences;
        mTokens = tokens;
        mEpochs = epochs;
        mFollowsStore = followsStore;
    }

    @Override
    public void onRestored(StoreEpoch epoch) {
        for (int round = 0; round < ROUNDS; round++) {
            mLoop.schedule(() -> compare(epoch), round * ROUND_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isEnded(StoreEpoch epoch) {
        return !mEpochs.newest().equals(epoch) || !mFollowsStore.getAsBoolean();
    }

    private void compare(StoreEpoch epoch) {
        if (isEnded(epoch) || mFences.fences().isEmpty()) {
            return;
        }
        mClaims.readAll()
                .whenComplete(
                        (answer, failure) -> mLoop.execute(() -> onClaims(epoch, answer, failure)));
    }

    private void onClaims(
            StoreEpoch epoch, StoreAnswer<Map<String, PromotionClaim>> answer, Throwable failure) {
        if (failure != null || !answer.epoch().equals(epoch)) {
            // A later round, or the instance that follows the store then, compares again.
            return;
        }
        Iterator<String> lost =
                mFences.fences().keySet().stream()
                        .filter(
                                service ->
                                        isLost(
                                                service,
                                                Optional.ofNullable(answer.content().get(service))))
                        .toList()
                        .iterator();
        restoreNext(epoch, lost);
    }

    private boolean isLost(String service, Optional<PromotionClaim> stored) {
        PromotionOrder known = mFences.fence(service).newestOrder();
        long storedToken = stored.map(claim -> claim.newestOrder().token()).orElse(0L);
        return known.token() > storedToken;
    }

    /** Restores one claim after the other, so that many lost claims are no burst of calls. */
    private void restoreNext(StoreEpoch epoch, Iterator<String> lost) {
        if (!lost.hasNext() || isEnded(epoch)) {
            return;
        }
        restore(epoch, lost.next())
                .whenComplete((ignored, failure) -> mLoop.execute(() -> restoreNext(epoch, lost)));
    }

    private CompletableFuture<Void> restore(StoreEpoch epoch, String service) {
        return mClaims.read(service)
                .thenCompose(answer -> write(epoch, service, answer))
                .thenAccept(answer -> onWritten(epoch, service, answer))
                .whenComplete(
                        (ignored, failure) -> {
                            if (failure != null) {
                                GatewayEvent.CLAIM_RESTORED.log(
                                        service, Futures.unwrap(failure).getMessage());
                            }
                        });
    }

    private CompletableFuture<StoreAnswer<Boolean>> write(
            StoreEpoch epoch, String service, StoreAnswer<Optional<StoredClaim>> answer) {
        Optional<PromotionClaim> stored = answer.content().map(StoredClaim::claim);
        boolean isOpen = stored.filter(PromotionClaim::open).isPresent();
        if (!answer.epoch().equals(epoch) || isOpen || !isLost(service, stored)) {
            return CompletableFuture.completedFuture(new StoreAnswer<>(answer.epoch(), false));
        }
        PromotionOrder known = mFences.fence(service).newestOrder();
        PromotionClaim claim =
                new PromotionClaim(
                        mHolder,
                        mTokens.next(service, epoch, stored),
                        false,
                        known,
                        known.isPending());
        return mClaims.write(service, answer.content().map(StoredClaim::version), claim);
    }

    private void onWritten(StoreEpoch epoch, String service, StoreAnswer<Boolean> answer) {
        if (answer.content() && answer.epoch().equals(epoch)) {
            GatewayEvent.CLAIM_RESTORED.log(service, "written");
        }
    }
}
