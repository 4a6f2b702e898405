package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.engine.membership.RendezvousScore;
import org.plantainferry.engine.promotion.ReachabilityVote;
import org.plantainferry.engine.promotion.ReplicaState;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.statement.Statement;
import org.plantainferry.gateway.traffic.FleetView;
import org.plantainferry.gateway.traffic.PrimaryLeaseGuard;
import org.plantainferry.gateway.traffic.ProbeResult;
import org.plantainferry.gateway.traffic.ServerProbe;
import org.plantainferry.gateway.traffic.SuspectedPrimaryListener;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Monitors the primary of each group and starts its replacement.
 *
 * <p>A primary is replaced when it is leaving, when its failure domain is evacuated, when no server
 * claims the role, when the server that claims it cannot be verified, or when neither this nor
 * another instance reaches it. Each instance delays its attempt by its rank, which differs from
 * group to group, so that the instances do not start the same replacement at the same time. Used by
 * the control thread only, except {@link #onSuspected}.
 */
final class PrimaryMonitor implements SuspectedPrimaryListener {
    private static final long MISSING_DELAY_MILLIS = 250;
    private static final long LEAVING_DELAY_MILLIS = 150;
    private static final long DELAY_PER_RANK_MILLIS = 400;
    private static final int MAX_RANK = 4;
    private static final long PROBE_TIMEOUT_MILLIS = 350;
    // If the primary has not answered the probe by then, the other instances are polled as well.
    private static final long POLL_DELAY_MILLIS = 120;
    private static final long SUSPICION_COOLDOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long RECHECK_MILLIS = 300;
    // Each instance queries the replicas again while none may be promoted.
    private static final long LOST_RECHECK_MILLIS_PER_INSTANCE = 20;

    private final EventLoop mLoop;
    private final String mInstance;
    private final LongSupplier mClock;
    private final ServerProbe mProbe;
    private final ReachabilityPoll mPoll;
    private final TrafficServer mTraffic;
    private final PrimaryLeaseGuard mGuard;
    private final ReplacementFactory mReplacementFactory;
    private final Set<String> mScheduled = new HashSet<>();
    private final Set<String> mSuspected = new HashSet<>();
    private final Map<String, Long> mCooldownUntilNanos = new HashMap<>();
    private final Map<String, PrimaryReplacement> mRunningReplacements = new HashMap<>();
    private final Map<String, CatalogServer> mLastPrimaries = new HashMap<>();
    private final Set<String> mResolving = new HashSet<>();
    private final BiConsumer<String, String> mResolutionListener;
    private final PrimaryVerifier mVerifier;
    private ServerCatalog mCatalog = ServerCatalog.EMPTY;
    private Set<String> mOtherInstances = Set.of();
    private Optional<FleetView> mView = Optional.empty();

    /** Creates replacements of primaries. */
    interface ReplacementFactory {
        /**
         * Creates a replacement that has not started.
         *
         * @param lastPrimary the last known primary, even if its entry has been removed
         * @param endListener runs when the replacement has ended
         */
        PrimaryReplacement create(
                String service,
                ReplacementCause cause,
                Optional<CatalogServer> lastPrimary,
                Runnable endListener);
    }

    PrimaryMonitor(
            EventLoop loop,
            String instance,
            LongSupplier clock,
            ServerProbe probe,
            ReachabilityPoll poll,
            TrafficServer traffic,
            BiConsumer<String, String> resolutionListener,
            PrimaryVerifier verifier,
            PrimaryLeaseGuard guard,
            ReplacementFactory replacementFactory) {
        mLoop = loop;
        mInstance = instance;
        mClock = clock;
        mProbe = probe;
        mPoll = poll;
        mTraffic = traffic;
        mResolutionListener = resolutionListener;
        mVerifier = verifier;
        verifier.onLongUnverified(this::scheduleReplacement);
        mGuard = guard;
        mReplacementFactory = replacementFactory;
    }

    void onView(FleetView view) {
        mCatalog = view.catalog();
        mOtherInstances = view.otherInstances();
        mView = Optional.of(view);
        mVerifier.onCatalog(mCatalog);
        for (String service : mCatalog.services()) {
            mCatalog.primary(service).ifPresent(primary -> mLastPrimaries.put(service, primary));
            if (mCatalog.contenders(service).isEmpty()) {
                scheduleReplacement(service);
            } else {
                resolveContenders(service);
            }
        }
    }

    /** Queries the servers that claim to be the primary; the one with the newest term wins. */
    private void resolveContenders(String service) {
        List<CatalogServer> contenders = mCatalog.contenders(service);
        if (contenders.isEmpty() || !mResolving.add(service)) {
            return;
        }
        ReplicaStateQuery.run(
                mLoop,
                mProbe,
                contenders,
                PROBE_TIMEOUT_MILLIS,
                states -> onContenderStates(service, states));
    }

    private void onContenderStates(String service, List<ReplicaState> states) {
        mResolving.remove(service);
        Optional<ReplicaState> newest =
                states.stream()
                        .filter(ReplicaState::primary)
                        .max(Comparator.comparingLong(ReplicaState::term));
        if (newest.isEmpty()) {
            mLoop.schedule(() -> resolveContenders(service), RECHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        String server = newest.get().server().id();
        GatewayEvent.PRIMARY_SETTLED.log(service, server, newest.get().term());
        mResolutionListener.accept(service, server);
    }

    private Optional<ReplacementCause> currentCause(String service) {
        Optional<CatalogServer> primary = mCatalog.primary(service);
        if (!mCatalog.contenders(service).isEmpty()) {
            return Optional.empty();
        }
        if (primary.isEmpty()) {
            return Optional.of(ReplacementCause.MISSING);
        }
        if (mVerifier.isLongUnverified(service)) {
            return Optional.of(ReplacementCause.NOT_BELIEVED);
        }
        if (primary.get().draining()) {
            return Optional.of(ReplacementCause.LEAVING);
        }
        return isEvacuated(primary.get()) && hasReplacementElsewhere(service)
                ? Optional.of(ReplacementCause.EVACUATED)
                : Optional.empty();
    }

    private boolean isEvacuated(CatalogServer server) {
        return mView.filter(view -> view.isEvacuated(server)).isPresent();
    }

    private boolean hasReplacementElsewhere(String service) {
        return mCatalog.servers(service).stream()
                .anyMatch(server -> mView.filter(view -> view.mayLead(server)).isPresent());
    }

    /** Schedules a replacement, which starts if a cause for it still exists after the delay. */
    private void scheduleReplacement(String service) {
        Optional<ReplacementCause> cause = currentCause(service);
        if (cause.isEmpty()
                || mRunningReplacements.containsKey(service)
                || !mScheduled.add(service)) {
            return;
        }
        boolean isMissing = cause.get() == ReplacementCause.MISSING;
        long delay =
                (isMissing ? MISSING_DELAY_MILLIS : LEAVING_DELAY_MILLIS)
                        + rank(service) * DELAY_PER_RANK_MILLIS;
        mLoop.schedule(() -> replaceIfStillNeeded(service), delay, TimeUnit.MILLISECONDS);
    }

    private void replaceIfStillNeeded(String service) {
        mScheduled.remove(service);
        currentCause(service).ifPresent(cause -> replace(service, cause));
    }

    /** Returns the rank of this instance for a group; the instance with rank 0 acts first. */
    private int rank(String service) {
        return Math.min(MAX_RANK, RendezvousScore.rank(mInstance, mOtherInstances, service));
    }

    private void replace(String service, ReplacementCause cause) {
        if (mRunningReplacements.containsKey(service)) {
            return;
        }
        Optional<CatalogServer> lastPrimary = Optional.ofNullable(mLastPrimaries.get(service));
        PrimaryReplacement replacement =
                mReplacementFactory.create(
                        service, cause, lastPrimary, () -> onReplacementEnded(service));
        mRunningReplacements.put(service, replacement);
        replacement.start();
    }

    private void onReplacementEnded(String service) {
        mRunningReplacements.remove(service);
        mCooldownUntilNanos.put(service, mClock.getAsLong() + SUSPICION_COOLDOWN_NANOS);
        boolean isLost = mGuard.isPrimaryLost(service);
        long lostMillis = isLost ? LOST_RECHECK_MILLIS_PER_INSTANCE * mOtherInstances.size() : 0;
        mLoop.schedule(
                () -> scheduleReplacement(service),
                RECHECK_MILLIS + lostMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void onSuspected(String service, String server) {
        mLoop.execute(() -> checkSuspicion(service, server));
    }

    private void checkSuspicion(String service, String server) {
        Optional<CatalogServer> primary = mCatalog.primary(service);
        boolean isPrimary = primary.isPresent() && primary.get().id().equals(server);
        Long cooldownUntilNanos = mCooldownUntilNanos.get(service);
        boolean isCoolingDown =
                cooldownUntilNanos != null && mClock.getAsLong() - cooldownUntilNanos < 0;
        if (!isPrimary
                || isCoolingDown
                || mRunningReplacements.containsKey(service)
                || !mSuspected.add(service)) {
            return;
        }
        CompletableFuture<ProbeResult> probe =
                mProbe.send(primary.get(), new Statement.Status(), PROBE_TIMEOUT_MILLIS);
        probe.thenAccept(result -> mLoop.execute(() -> onProbeResult(service, result)));
        mLoop.schedule(
                () -> {
                    // The probe may be unanswered or may have failed already, for example because
                    // the connection was refused.
                    if (!probe.getNow(ProbeResult.UNREACHABLE).alive()) {
                        pollOtherInstances(service, server, probe);
                    }
                },
                POLL_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void onProbeResult(String service, ProbeResult result) {
        if (result.alive()) {
            endSuspicion(service);
        }
    }

    /** Polls the other instances while the probe of this instance continues. */
    private void pollOtherInstances(
            String service, String server, CompletableFuture<ProbeResult> probe) {
        GatewayEvent.PRIMARY_SUSPECTED.log(service, server, "probe not answered");
        mPoll.ask(
                server,
                (verdict, reachedBy) ->
                        probe.thenAccept(
                                answer ->
                                        mLoop.execute(
                                                () -> {
                                                    if (!answer.alive()) {
                                                        onVerdict(
                                                                service, server, verdict,
                                                                reachedBy);
                                                    }
                                                })));
    }

    private void onVerdict(
            String service,
            String server,
            ReachabilityVote.Verdict verdict,
            Optional<InstanceEntry> reachedBy) {
        GatewayEvent.PRIMARY_SUSPECTED.log(service, server, "verdict " + verdict);
        boolean isPrimary =
                mCatalog.primary(service)
                        .filter(primary -> primary.id().equals(server))
                        .isPresent();
        if (verdict == ReachabilityVote.Verdict.REPLACE && isPrimary) {
            replace(service, ReplacementCause.UNREACHABLE);
        }
        reachedBy.ifPresent(
                instance -> {
                    GatewayEvent.RELAY_USED.log(server, instance.name());
                    mTraffic.relayThrough(service, server, instance.peerAddress());
                });
        endSuspicion(service);
    }

    private void endSuspicion(String service) {
        mSuspected.remove(service);
        mCooldownUntilNanos.put(service, mClock.getAsLong() + SUSPICION_COOLDOWN_NANOS);
    }
}
