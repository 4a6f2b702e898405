package org.plantainferry.gateway.traffic;

import java.util.Optional;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.scheduling.Urgency;
import org.plantainferry.engine.sessionstate.SessionState;

/** Creates requests for connections. */
final class TestRequests {
    private static final DatabaseRoute ROUTE =
            new DatabaseRoute("db", "svc", ReadGuarantee.SESSION, 0, 10_000, 10_000, 0, false);

    private TestRequests() {}

    /** Returns a request of a read whose objective ends with its deadline. */
    static ConnectionRequest read(String workspace, long nowNanos, long deadlineNanos) {
        return read(workspace, nowNanos, deadlineNanos, deadlineNanos);
    }

    /** Returns a request of a read. */
    static ConnectionRequest read(
            String workspace, long nowNanos, long objectiveNanos, long deadlineNanos) {
        return new ConnectionRequest(
                "request",
                workspace,
                ROUTE,
                ConnectionPurpose.READ,
                new WorkKind("db", WorkKind.Step.READ),
                new SessionState(),
                Optional.empty(),
                Optional.empty(),
                nowNanos,
                new Urgency(workspace, 0, nowNanos, objectiveNanos, deadlineNanos),
                deadlineNanos,
                false);
    }
}
