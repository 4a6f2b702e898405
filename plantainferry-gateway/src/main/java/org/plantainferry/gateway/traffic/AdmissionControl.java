package org.plantainferry.gateway.traffic;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.gateway.statement.FailureCode;

/**
 * Checks keys, routes and limits in the configuration in force.
 *
 * <p>Used by the traffic thread only.
 */
final class AdmissionControl {
    /** The workspace that servers are told where a route needs no key. */
    private static final String NO_WORKSPACE = "-";

    private static final long RETRY_AFTER_STALE_MILLIS = 700;

    private final Supplier<FleetView> mView;
    private final WorkspaceRateLimiter mLimits;
    private final LongSupplier mClock;
    private final long mMaxConfirmationAgeNanos;

    /**
     * Creates the checks.
     *
     * @param clock time that includes suspensions of the machine
     * @param confirmationMillis how old the last confirmation of the configuration may be
     */
    AdmissionControl(
            Supplier<FleetView> view,
            WorkspaceRateLimiter limits,
            LongSupplier clock,
            long confirmationMillis) {
        mView = view;
        mLimits = limits;
        mClock = clock;
        mMaxConfirmationAgeNanos = TimeUnit.MILLISECONDS.toNanos(confirmationMillis);
    }

    /** Checks whether a key may use a database now; counts nothing. */
    Admission check(String database, String key) {
        RoutingConfiguration configuration = mView.get().configuration();
        Optional<DatabaseRoute> route = configuration.route(database);
        Optional<String> workspace = configuration.workspaceOf(key);
        if (route.isPresent() && route.get().open()) {
            return new Admission.Granted(workspace.orElse(NO_WORKSPACE), route.get());
        }
        boolean isStale =
                mClock.getAsLong() - mView.get().confirmedNanos() > mMaxConfirmationAgeNanos;
        if (isStale) {
            return new Admission.Refused(
                    FailureCode.BUSY,
                    "this instance cannot confirm that the key is valid",
                    RETRY_AFTER_STALE_MILLIS);
        }
        if (route.isEmpty()) {
            return new Admission.Refused(
                    FailureCode.UNKNOWN_DATABASE, "no route has this database name", 0);
        }
        if (workspace.isEmpty()) {
            return new Admission.Refused(
                    FailureCode.KEY_REFUSED, "the key is unknown or withdrawn", 0);
        }
        return new Admission.Granted(workspace.get(), route.get());
    }

    /**
     * Checks as {@link #check} and counts an operation against the limit of the workspace.
     *
     * @param callback runs once, now or shortly after
     */
    void admitOperation(String database, String key, Consumer<Admission> callback) {
        Admission admission = check(database, key);
        if (!(admission instanceof Admission.Granted granted)) {
            callback.accept(admission);
            return;
        }
        mLimits.take(
                granted.workspace(),
                retryAfterMillis ->
                        callback.accept(retryAfterMillis.map(this::overLimit).orElse(admission)));
    }

    private Admission overLimit(long retryAfterMillis) {
        return new Admission.Refused(
                FailureCode.BUSY, "the workspace has used up its rate and burst", retryAfterMillis);
    }

    /** Describes the inputs of a decision about a workspace, for logs. */
    String describeLimit(String workspace) {
        return mLimits.describe(workspace);
    }

    RoutingConfiguration configuration() {
        return mView.get().configuration();
    }
}
