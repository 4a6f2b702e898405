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
final class SampleForOthers {
    /** The workspace that servers are told for connections of the system itself. */
    private static final String NO_WORKSPACE = "-";

    private final Binder mBinder;
    private final DatabaseRoute mRoute;
    private final long mSinceNanos;
    private final Consumer<Optional<TimedPosition>> mCallback;
    private final GroupState mGroup;

    /**
     * Creates the search.
     *
     * @param route any route of the group
     * @param sinceNanos the time that the position must cover
     * @param callback runs once
     */
    SampleForOthers(
            Binder binder,
            DatabaseRoute route,
            long sinceNanos,
            Consumer<Optional<TimedPosition>> callback) {
        mBinder = binder;
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
        if (mGroup.awaitSample(this::end)) {
            return;
        }
        mGroup.beginSample();
        mGroup.awaitSample(this::end);
        new PrimarySampler(mBinder, request(), mGroup).start(taken -> mGroup.endSample());
    }

    private void end() {
        mCallback.accept(mGroup.samples().sampleCovering(mSinceNanos));
    }

    private BindRequest request() {
        long now = mBinder.now();
        return new BindRequest(
                "-",
                NO_WORKSPACE,
                mRoute,
                BindPurpose.TRANSACTION,
                new SessionState(),
                Optional.empty(),
                Optional.empty(),
                now,
                now,
                false);
    }
}
