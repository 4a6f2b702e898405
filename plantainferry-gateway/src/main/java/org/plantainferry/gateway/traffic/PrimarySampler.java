package org.plantainferry.gateway.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Learns the log position of the primary by beginning and rolling back a transaction.
 *
 * <p>Neither statement occupies a slot of the server. A server that has lost the lead refuses to
 * begin, so a position learned this way is that of the primary.
 */
final class PrimarySampler {
    private static final long DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Binder mBinder;
    private final BindRequest mFor;
    private final GroupState mGroup;

    PrimarySampler(Binder binder, BindRequest request, GroupState group) {
        mBinder = binder;
        mFor = request;
        mGroup = group;
    }

    /** Takes a sample; the callback says whether there is one. */
    void start(Consumer<Boolean> done) {
        long now = mBinder.now();
        BindRequest request =
                new BindRequest(
                        mFor.requestId(),
                        mFor.workspace(),
                        mFor.route(),
                        BindPurpose.TRANSACTION,
                        mFor.session(),
                        Optional.empty(),
                        Optional.empty(),
                        now,
                        now + DEADLINE_NANOS);
        mBinder.bind(request, new HashSet<>(), result -> onBound(result, done));
    }

    private void onBound(BindResult result, Consumer<Boolean> done) {
        result.bound().ifPresent(BindAttempt::rollBack);
        done.accept(result.bound().isPresent() && mGroup.samples().newest().isPresent());
    }
}
