package org.plantainferry.gateway.traffic;

import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.freshness.TimedPosition;
import org.plantainferry.engine.sessionstate.SessionState;

/**
 * Finds a log position for another instance, and samples the primary where none is known.
 *
 * <p>Used by the traffic thread only.
 */
final class PeerPositionHandler {
    /** The workspace that servers are told for connections of the system itself. */
    private static final String NO_WORKSPACE = "-";

    private final ConnectionBroker mBroker;
    private final DatabaseRoute mRoute;
    private final long mSinceNanos;
    private final Consumer<Optional<TimedPosition>> mCallback;
    private final ServerGroup mGroup;

    /**
     * Creates the search.
     *
     * @param route any route of the group
     * @param sinceNanos the time that the position must cover
     * @param callback runs once
     */
    PeerPositionHandler(
            ConnectionBroker binder,
            DatabaseRoute route,
            long sinceNanos,
            Consumer<Optional<TimedPosition>> callback) {
        mBroker = binder;
        mRoute = route;
        mSinceNanos = sinceNanos;
        mCallback = callback;
        mGroup = binder.group(route.service());
    }

    void start() {
        Optional<TimedPosition> known = mGroup.samples().sampleCovering(mSinceNanos);
        if (known.isPresent()) {
            mCallback.accept(known);
            return;
        }
        if (mGroup.awaitRunningSample(this::respond)) {
            return;
        }
        mGroup.beginSample();
        mGroup.awaitRunningSample(this::respond);
        new PrimaryPositionSampler(mBroker, request(), mGroup).start(taken -> mGroup.endSample());
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
                new SessionState(),
                Optional.empty(),
                Optional.empty(),
                now,
                now,
                false);
    }
}
