package org.plantainferry.engine.scheduling;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.plantainferry.engine.placement.ConnectionOpeningPolicy;
import org.plantainferry.engine.scheduling.StatementQueue.Candidate;

/**
 * Decides which waiting statement gets an idle connection to a server, and for which workspace a
 * connection is opened.
 *
 * <p>A connection serves the statements of one workspace only, and opening one occupies the server
 * as a statement does. While the room is limited, a more urgent statement without a connection
 * therefore goes before less urgent ones with one, whereas a statement of the same urgency is
 * passed over a few times before a connection is opened for it. Not thread-safe.
 *
 * @param <T> the type of the statements
 * @since 0.4
 */
public final class ServerDispatch<T> {
    // Several statements share the cost of one opening.
    private static final int MAX_PASSED_OVER = 4;

    private final StatementQueue<T> mQueue;
    private final Map<String, Integer> mOpeningByWorkspace = new HashMap<>();
    private int mOpenings;
    private int mPassedOver;
    private boolean mOpensInFairOrder;

    /** Creates the decisions for the statements of a queue. */
    public ServerDispatch(StatementQueue<T> queue) {
        mQueue = queue;
    }

    /** Returns the queue of the waiting statements. */
    public StatementQueue<T> queue() {
        return mQueue;
    }

    /** Returns the number of connections that are being opened. */
    public int openings() {
        return mOpenings;
    }

    /**
     * Records that a connection was opened. Removes and returns the statement that gets it: the
     * room that the opening held is its own, so it does not wait for room again.
     */
    public Optional<T> onOpened(String workspace, long nowNanos) {
        onOpeningEnded(workspace);
        return mQueue.poll(nowNanos, waiting -> waiting.workspace().equals(workspace));
    }

    /** Records that the opening of a connection has failed. */
    public void onOpeningFailed(String workspace) {
        onOpeningEnded(workspace);
    }

    private void onOpeningEnded(String workspace) {
        mOpenings--;
        mOpeningByWorkspace.computeIfPresent(
                workspace, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns what to do now; empty when nothing can be done until the state changes. */
    public Optional<DispatchStep<T>> next(DispatchState state, long nowNanos) {
        if (mQueue.size() == 0 || !state.hasRoom()) {
            return Optional.empty();
        }
        Optional<Candidate<T>> ready =
                state.idleWorkspaces().isEmpty()
                        ? Optional.empty()
                        : mQueue.peek(nowNanos, waiting -> state.isIdle(waiting.workspace()));
        Optional<Candidate<T>> unconnected =
                state.mayOpen() ? mQueue.peek(nowNanos, needsOpening(state)) : Optional.empty();
        if (unconnected.isPresent() && opensFirst(state, ready, unconnected.get(), nowNanos)) {
            return Optional.of(open(state, unconnected.get(), nowNanos));
        }
        return ready.isPresent() ? grant(state, nowNanos) : Optional.empty();
    }

    private boolean opensFirst(
            DispatchState state,
            Optional<Candidate<T>> ready,
            Candidate<T> unconnected,
            long nowNanos) {
        if (ready.isEmpty()) {
            return true;
        }
        if (unconnected.turn() != ready.get().turn()) {
            return unconnected.turn() < ready.get().turn();
        }
        if (!state.isLimited() || state.hasRoomForTwo() && !state.openingDisplaces()) {
            return false;
        }
        Predicate<WaitingStatement<T>> either =
                waiting -> waiting == unconnected.waiting() || waiting == ready.get().waiting();
        boolean isAhead =
                mQueue.peek(nowNanos, either)
                        .filter(first -> first.waiting() == unconnected.waiting())
                        .isPresent();
        if (!isAhead) {
            return false;
        }
        mPassedOver++;
        return mPassedOver > MAX_PASSED_OVER;
    }

    private Optional<DispatchStep<T>> grant(DispatchState state, long nowNanos) {
        return mQueue.poll(nowNanos, waiting -> state.isIdle(waiting.workspace()))
                .map(DispatchStep.Grant::new);
    }

    /** Matches statements without an idle connection and without one that is being opened. */
    private Predicate<WaitingStatement<T>> needsOpening(DispatchState state) {
        Map<String, Integer> opening = new HashMap<>(mOpeningByWorkspace);
        return waiting -> {
            if (state.isIdle(waiting.workspace())) {
                return false;
            }
            int remaining = opening.getOrDefault(waiting.workspace(), 0);
            opening.put(waiting.workspace(), remaining - 1);
            return remaining <= 0;
        };
    }

    private DispatchStep<T> open(DispatchState state, Candidate<T> first, long nowNanos) {
        mPassedOver = 0;
        List<WaitingStatement<T>> candidates = mQueue.waitingAt(first.turn());
        mQueue.onTurnSpent(first.turn());
        String workspace = first.waiting().workspace();
        // Half of the openings go to the workspace that is next in fair order, so that the longest
        // queue does not get them all.
        if (!state.isLimited() || !mOpensInFairOrder) {
            workspace = longestWaiting(state, candidates, nowNanos).orElse(workspace);
        }
        mOpensInFairOrder = !mOpensInFairOrder;
        mOpenings++;
        mOpeningByWorkspace.merge(workspace, 1, Integer::sum);
        return new DispatchStep.Open<>(workspace);
    }

    private Optional<String> longestWaiting(
            DispatchState state, List<WaitingStatement<T>> candidates, long nowNanos) {
        List<ConnectionOpeningPolicy.WaitingRequest> waiting =
                candidates.stream()
                        .filter(statement -> !state.isIdle(statement.workspace()))
                        .sorted(
                                Comparator.comparingLong(
                                        statement -> statement.sinceNanos() - nowNanos))
                        .map(
                                statement ->
                                        new ConnectionOpeningPolicy.WaitingRequest(
                                                statement.workspace(),
                                                nowNanos - statement.sinceNanos()))
                        .toList();
        return ConnectionOpeningPolicy.choose(waiting, mOpeningByWorkspace);
    }
}
