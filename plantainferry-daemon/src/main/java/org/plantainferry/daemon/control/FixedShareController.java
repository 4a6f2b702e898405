package org.plantainferry.daemon.control;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.Workspace;
import org.plantainferry.daemon.traffic.TokenBucketProvider;
import org.plantainferry.engine.limit.WorkspaceTokenBucket;

/**
 * Gives each instance an equal, fixed share of each rate and burst.
 *
 * <p>This is the baseline for measurements. It refuses callers whose traffic lands on one instance.
 */
final class FixedShareController implements TokenBucketProvider {
    private static final long TICK_INTERVAL_MILLIS = 200;
    private static final long SHARE_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final Map<WorkspaceName, WorkspaceTokenBucket> mBuckets = new ConcurrentHashMap<>();

    FixedShareController(ControlContext context, FleetState fleet) {
        mContext = context;
        mFleet = fleet;
    }

    void start() {
        mContext.loop().runEvery("fixed shares", TICK_INTERVAL_MILLIS, this::tick);
    }

    private void tick() {
        long now = mContext.now();
        int instances = Math.max(1, mFleet.membership().snapshot().members().size());
        for (Workspace workspace : mFleet.configuration().parts().workspaces()) {
            mBuckets.computeIfAbsent(workspace.name(), name -> new WorkspaceTokenBucket(now))
                    .setOwnLimit(
                            now,
                            workspace.ratePerSecond() / instances,
                            workspace.burst() / instances,
                            now + SHARE_VALIDITY_NANOS);
        }
    }

    @Override
    public Optional<WorkspaceTokenBucket> bucket(WorkspaceName workspace) {
        return Optional.ofNullable(mBuckets.get(workspace));
    }

    @Override
    public void requestGrant() {
        // Fixed shares ask nobody.
    }
}
