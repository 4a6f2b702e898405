package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.promotion.CandidateSelector;
import org.plantainferry.engine.promotion.ReplicaState;
import org.plantainferry.engine.promotion.ServerLife;
import org.plantainferry.engine.promotion.SynchronousGroup;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.traffic.FleetView;

/**
 * Searches the replica to promote in one group.
 *
 * <p>Used by the control thread only.
 */
final class CandidateSearch {

    private final EventLoop mLoop;
    private final ReplacementContext mContext;
    private final String mService;
    private final String mOldPrimaryId;

    /**
     * Holds the outcome of a search.
     *
     * @param states the states of the replicas that answered
     * @param candidate the replica to promote; empty while a promotion could lose an acknowledged
     *     commit
     */
    record Outcome(List<ReplicaState> states, Optional<ReplicaState> candidate) {}

    /** Creates a search; {@code oldPrimaryId} is empty if no primary was known. */
    CandidateSearch(
            EventLoop loop, ReplacementContext context, String service, String oldPrimaryId) {
        mLoop = loop;
        mContext = context;
        mService = service;
        mOldPrimaryId = oldPrimaryId;
    }

    private FleetView view() {
        return mContext.view().get();
    }

    /**
     * Queries the replicas and selects one.
     *
     * @param finalPosition the last position of a primary that has stepped down; empty if unknown
     * @param callback runs once; receives nothing if no replica can be queried
     */
    void run(Optional<LogPosition> finalPosition, Consumer<Optional<Outcome>> callback) {
        if (synchronousGroup().isEmpty()) {
            query(finalPosition, callback);
            return;
        }
        mContext.memberships()
                .refresh(
                        mService,
                        failure -> {
                            if (failure.isPresent()) {
                                callback.accept(Optional.empty());
                            } else {
                                query(finalPosition, callback);
                            }
                        });
    }

    private Optional<SynchronousGroup> synchronousGroup() {
        return mContext.memberships().group(mService);
    }

    private void query(Optional<LogPosition> finalPosition, Consumer<Optional<Outcome>> callback) {
        List<CatalogServer> replicas =
                view().catalog().servers(mService).stream()
                        .filter(server -> !server.id().equals(mOldPrimaryId))
                        .filter(server -> synchronousGroup().isPresent() || view().mayLead(server))
                        .toList();
        if (replicas.isEmpty()) {
            callback.accept(Optional.empty());
            return;
        }
        ReplicaStateQuery.run(
                mLoop,
                mContext.probe(),
                replicas,
                ReplicaStateQuery.STATUS_TIMEOUT_MILLIS,
                states ->
                        callback.accept(
                                Optional.of(new Outcome(states, select(states, finalPosition)))));
    }

    private Optional<ReplicaState> select(
            List<ReplicaState> states, Optional<LogPosition> finalPosition) {
        Optional<SynchronousGroup> group = synchronousGroup();
        if (group.isEmpty()) {
            return CandidateSelector.select(states);
        }
        Set<ServerLife> unanswered = group.get().unanswered(states, mContext.clock().getAsLong());
        Optional<ReplicaState> best = group.get().select(states, unanswered, finalPosition);
        if (best.isEmpty()) {
            GatewayEvent.PROMOTION_POSTPONED.log(mService, unanswered);
        }
        return best.flatMap(replica -> outsideEvacuatedDomains(states, replica));
    }

    /** Returns the best replica, or another one with the same position where it may not lead. */
    private Optional<ReplicaState> outsideEvacuatedDomains(
            List<ReplicaState> states, ReplicaState best) {
        if (!view().isEvacuated(best.server())) {
            return Optional.of(best);
        }
        return states.stream()
                .filter(state -> !view().isEvacuated(state.server()))
                .filter(state -> state.received().compareTo(best.received()) >= 0)
                .max(Comparator.comparing(state -> state.server().id()));
    }
}
