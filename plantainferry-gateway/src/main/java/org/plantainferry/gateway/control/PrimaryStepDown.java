package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.statement.ServerStatus;
import org.plantainferry.gateway.statement.Statement;
import org.plantainferry.gateway.traffic.ProbeResult;

/**
 * Makes a primary step down before it is replaced, so that the replicas can receive all of its
 * commits.
 *
 * <p>Used by the control thread only.
 */
final class PrimaryStepDown {

    private final EventLoop mLoop;
    private final ReplacementContext mContext;
    private final CatalogServer mPrimary;
    private final PromotionOrder mNewestOrder;
    private final Consumer<Optional<LogPosition>> mCallback;

    /**
     * Creates a step that is not started.
     *
     * @param newestOrder the newest promotion order of the group
     * @param callback runs once; receives the last position of the primary, or nothing if it did
     *     not step down
     */
    PrimaryStepDown(
            EventLoop loop,
            ReplacementContext context,
            CatalogServer primary,
            PromotionOrder newestOrder,
            Consumer<Optional<LogPosition>> callback) {
        mLoop = loop;
        mContext = context;
        mPrimary = primary;
        mNewestOrder = newestOrder;
        mCallback = callback;
    }

    void start() {
        send(new Statement.Status(), this::onStatus);
    }

    private void send(Statement statement, Consumer<ProbeResult> listener) {
        mContext.probe()
                .send(mPrimary, statement, ReplicaStateQuery.STATUS_TIMEOUT_MILLIS)
                .thenAccept(result -> mLoop.execute(() -> listener.accept(result)));
    }

    private void onStatus(ProbeResult result) {
        if (result.status().isEmpty() || !isOnlyPossiblePrimary(result.status().get())) {
            mCallback.accept(Optional.empty());
            return;
        }
        long term = result.status().get().term() + 1;
        send(
                new Statement.StepDown(term),
                answer -> mCallback.accept(answer.status().map(ServerStatus::received)));
    }

    /** Returns whether no other server of the group can be the primary now. */
    private boolean isOnlyPossiblePrimary(ServerStatus status) {
        if (!mContext.guardsPrimaries()) {
            return true;
        }
        return status.primary()
                && !mNewestOrder.isPending()
                && status.term() >= mNewestOrder.term();
    }
}
