package org.plantainferry.gateway.traffic;

import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.freshness.TimedPosition;
import org.plantainferry.engine.scheduling.Urgency;
import org.plantainferry.engine.sessionstate.SessionState;

/**
 * Finds a log position of a primary for another instance, and samples the primary when no known
 * position is recent enough.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 */
final class PeerPositionHandler {
    /** The workspace name that servers receive for connections of the gateway itself. */
    private static final String NO_WORKSPACE = "-";

    private final ConnectionBroker mBroker;
    private final DatabaseRoute mRoute;
    private final long mSinceNanos;
    private final Consumer<Optional<TimedPosition>> mCallback;
    private final ServerGroup mGroup;

    /**
     * Creates the handler of one request.
     *
     * @param route any route of the group
     * @param sinceNanos the position must include every commit acknowledged before this time
     * @param callback runs once; receives nothing when the primary could not be sampled
     */
    PeerPositionHandler(
            ConnectionBroker broker,
            DatabaseRoute route,
            long sinceNanos,
            Consumer<Optional<TimedPosition>> callback) {
        mBroker = broker;
        mRoute = route;
        mSinceNanos = sinceNanos;
        mCallback = callback;
        mGroup = broker.group(route.service());
    }

    void start() {
        Optional<TimedPosition> known = mGroup.samples().sampleCovering(mSinceNanos);
        if (known.isPresent()) {
            mCallback.accept(known);
            return;
        }
        Urgency urgency = request().urgency();
        if (mGroup.awaitRunningSample(urgency, this::respond)) {
            return;
        }
        mGroup.beginSample();
        mGroup.awaitRunningSample(urgency, this::respond);
        new PrimaryPositionSampler(mBroker, request(), mGroup)
                .start(taken -> mGroup.endSample(mBroker.now()));
    }

    private void respond() {
        mCallback.accept(mGroup.samples().sampleCovering(mSinceNanos));
    }

    private ConnectionRequest request() {
        long now = mBroker.now();
        return new ConnectionRequest(
                "-",
                NO_WORKSPACE,
                mRoute,
                ConnectionPurpose.TRANSACTION,
                new WorkKind(mRoute.database(), WorkKind.Step.READ),
                new SessionState(),
                Optional.empty(),
                Optional.empty(),
                now,
                Urgency.ofInstance(NO_WORKSPACE, now, now),
                now,
                false);
    }
}
