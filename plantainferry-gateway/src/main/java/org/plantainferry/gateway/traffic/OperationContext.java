package org.plantainferry.gateway.traffic;

import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.scheduling.Urgency;
import org.plantainferry.engine.sessionstate.SessionState;
import org.plantainferry.gateway.statement.Statement;

/**
 * Holds the context in which one operation of a session runs.
 *
 * @param workspace the workspace for which it runs
 * @param route the route at its start
 * @param sessionState the session values and prepared statements
 * @param positions the log positions of the commits of the session
 * @param startedNanos when the operation arrived, from which its latency objective counts
 */
record OperationContext(
        String workspace,
        DatabaseRoute route,
        SessionState sessionState,
        SessionPositions positions,
        long startedNanos) {
    /** Returns the same context with another maximum duration of each statement. */
    OperationContext withTimeout(long timeoutMillis) {
        DatabaseRoute shortened =
                new DatabaseRoute(
                        route.database(),
                        route.service(),
                        route.guarantee(),
                        route.maximumAgeMillis(),
                        timeoutMillis,
                        route.latencyObjectiveMillis(),
                        route.priority(),
                        route.open());
        return new OperationContext(workspace, shortened, sessionState, positions, startedNanos);
    }

    /** Returns the kind of work that a statement of the operation is for a server. */
    WorkKind workKind(PreparedStatement statement) {
        if (statement.statement() instanceof Statement.Commit) {
            return new WorkKind(route.database(), WorkKind.Step.COMMIT);
        }
        return new WorkKind(
                route.database(), statement.writes() ? WorkKind.Step.WRITE : WorkKind.Step.READ);
    }

    /** Returns how urgent a statement of the operation is that is useless after a deadline. */
    Urgency urgency(long deadlineNanos) {
        long objective = TimeUnit.MILLISECONDS.toNanos(route.latencyObjectiveMillis());
        return new Urgency(
                workspace, route.priority(), startedNanos, startedNanos + objective, deadlineNanos);
    }

    /** Records that a statement of the operation is sent for the first time. */
    void recordSent(
            LoadMetrics metrics, String requestId, PreparedConnection prepared, long waitedNanos) {
        metrics.onSent(
                requestId, prepared.pool().server().id(), route.priority(), workspace, waitedNanos);
    }

    /** Records that a statement of the operation is refused without being sent. */
    void recordRefused(LoadMetrics metrics, String requestId, String reason) {
        metrics.onRefused(requestId, route.priority(), workspace, reason);
    }
}
