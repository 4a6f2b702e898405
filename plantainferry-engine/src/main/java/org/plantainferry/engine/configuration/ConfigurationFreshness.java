package org.plantainferry.engine.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.membership.DomainReport;
import org.plantainferry.engine.membership.GroupTerm;
import org.plantainferry.engine.membership.HeartbeatContent;
import org.plantainferry.engine.membership.LocalStatus;

/**
 * Determines the freshness of the configuration in force from answers of the store and from
 * heartbeats.
 *
 * <p>Ages are upper bounds: a confirmation or observation is dated to the time at which the request
 * that led to it was sent. Only answers to this instance's own heartbeats are dated in this way,
 * because the transit time of an unsolicited heartbeat is unknown; an unsolicited heartbeat can
 * only show that the store is reachable or that there is a newer version.
 *
 * <p>{@link Freshness#OUTAGE} relies on two assumptions: a change that the store accepts reaches
 * the watch of at least one instance before the store becomes unavailable, and connected instances
 * of one failure domain propagate it within seconds. An instance therefore reports for its failure
 * domain only after it has had contact with another instance of the domain for {@link
 * #STABLE_CONTACT_NANOS}; an instance that was partitioned may have missed changes that others
 * know. An observation that the store was not reached applies only to versions up to that of the
 * heartbeat that carried it.
 *
 * @since 0.1
 */
public final class ConfigurationFreshness {
    /** The maximum age of confirmations and observations that are taken into account. */
    public static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The age of the confirmation from which the store is checked again. */
    static final long STORE_CHECK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * The time since any domain last reached the store after which an outage is possible.
     *
     * <p>Instances whose confirmation is older than {@link #STORE_CHECK_AGE_NANOS} check the store
     * about once a second, so a store that answers any instance is detected within this time. The
     * time ends before the confirmation from the last answer expires, so that an outage observed by
     * all domains causes no interruption.
     */
    static final long STORE_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** The age of the confirmation from which every heartbeat requests an answer. */
    static final long HEARTBEAT_ANSWER_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long an instance must have had contact with its failure domain to report for it. */
    static final long STABLE_CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** A longer time without a heartbeat from its failure domain counts as a loss of contact. */
    static final long MAX_CONTACT_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final FailureDomain mDomain;
    private Set<FailureDomain> mDomains;
    private boolean mOnlyInstanceInDomain = true;
    private boolean mDomainContacted;
    private long mLastDomainContactNanos;
    private long mDomainContactSinceNanos;
    private long mVersion;
    private long mNewestVersion;
    private Optional<VersionObservation> mConfirmation = Optional.empty();

    /** The confirmation of a version that is not in force on this instance yet. */
    private Optional<VersionObservation> mPendingConfirmation = Optional.empty();

    private boolean mStoreAttemptFailed;
    private long mStoreAttemptNanos;
    private boolean mStoreAttempted;
    private final Map<FailureDomain, Long> mStoreReachedNanos = new HashMap<>();
    private final Map<FailureDomain, VersionObservation> mStoreNotReached = new HashMap<>();

    /**
     * Creates the state of an instance in a failure domain before any contact with the store or
     * peers.
     */
    public ConfigurationFreshness(FailureDomain domain) {
        mDomain = Preconditions.notNull(domain, "domain");
        mDomains = Set.of(domain);
    }

    /**
     * Updates which instances the platform lists, including suspected ones.
     *
     * @param domains the failure domains that have at least one listed instance
     * @param isOnlyInstance whether this instance is the only one in its failure domain
     */
    public void onInstances(Set<FailureDomain> domains, boolean isOnlyInstance) {
        mDomains = Set.copyOf(domains);
        mOnlyInstanceInDomain = isOnlyInstance;
    }

    /** Records that a version has come into force on this instance. */
    public void onVersionInForce(long version) {
        mVersion = Math.max(mVersion, version);
        mNewestVersion = Math.max(mNewestVersion, version);
        if (mPendingConfirmation.isPresent() && mPendingConfirmation.get().version() <= mVersion) {
            VersionObservation pending = mPendingConfirmation.get();
            mPendingConfirmation = Optional.empty();
            recordConfirmation(pending);
        }
        // A confirmation of an older version bounds the age of unknown changes for this version
        // too: every later version was accepted after the time of the confirmation.
        mConfirmation =
                mConfirmation.map(
                        confirmation -> new VersionObservation(mVersion, confirmation.nanos()));
    }

    /**
     * Records an answer of the store.
     *
     * @param version the version that the store holds
     * @param sentNanos the time at which the request was sent; for a watch that ended without a
     *     change, that time plus the requested wait, because the store does not answer an empty
     *     watch earlier
     */
    public void onStoreAnswer(long version, long sentNanos, long nowNanos) {
        if (!mStoreAttempted || sentNanos - mStoreAttemptNanos >= 0) {
            mStoreAttempted = true;
            mStoreAttemptFailed = false;
            mStoreAttemptNanos = sentNanos;
        }
        recordStoreReached(mDomain, nowNanos);
        recordConfirmation(new VersionObservation(version, sentNanos));
    }

    /** Records that the store refused or did not answer a request. */
    public void onStoreFailure(long sentNanos, long nowNanos) {
        if (!mStoreAttempted || sentNanos - mStoreAttemptNanos >= 0) {
            mStoreAttempted = true;
            mStoreAttemptFailed = true;
            mStoreAttemptNanos = sentNanos;
            if (mOnlyInstanceInDomain || hasStableDomainContact(nowNanos)) {
                recordStoreNotReached(mDomain, new VersionObservation(mVersion, sentNanos));
            }
        }
    }

    /** Records an unsolicited heartbeat. */
    public void onHeartbeat(HeartbeatContent heartbeat, long nowNanos) {
        LocalStatus status = heartbeat.status();
        if (heartbeat.failureDomain().equals(mDomain)) {
            recordDomainContact(nowNanos);
        }
        mNewestVersion = Math.max(mNewestVersion, status.configurationVersion());
        for (DomainReport report : status.domains()) {
            if (report.storeReachable()) {
                recordStoreReached(
                        report.failureDomain(), nowNanos - nanos(report.heardAgeMillis()));
            }
        }
    }

    /**
     * Records an answer to a heartbeat of this instance.
     *
     * @param sentNanos the time at which that heartbeat was sent
     */
    public void onHeartbeatAnswer(HeartbeatContent answer, long sentNanos, long nowNanos) {
        onHeartbeat(answer, nowNanos);
        LocalStatus status = answer.status();
        long version = status.configurationVersion();
        status.confirmationAgeMillis()
                .ifPresent(
                        age ->
                                recordConfirmation(
                                        new VersionObservation(version, sentNanos - nanos(age))));
        for (DomainReport report : status.domains()) {
            if (!report.storeReachable()) {
                recordStoreNotReached(
                        report.failureDomain(),
                        new VersionObservation(
                                version, sentNanos - nanos(report.heardAgeMillis())));
            }
        }
    }

    /** Returns until when the version in force counts as fresh or as current during an outage. */
    public FreshnessWindow window(long nowNanos) {
        boolean hasFresh = mConfirmation.isPresent();
        long freshUntil = hasFresh ? mConfirmation.get().nanos() + MAX_AGE_NANOS : 0;
        Optional<Long> outageUntil = outageUntilNanos(nowNanos);
        return new FreshnessWindow(
                mVersion, hasFresh, freshUntil, outageUntil.isPresent(), outageUntil.orElse(0L));
    }

    /**
     * Returns whether the store should be checked now; the caller skips the check while a request
     * is pending.
     */
    public boolean isStoreCheckDue(long nowNanos) {
        boolean recent =
                mStoreAttempted && nowNanos - mStoreAttemptNanos < STORE_CHECK_AGE_NANOS / 2;
        return !recent
                && confirmationAge(nowNanos).orElse(STORE_CHECK_AGE_NANOS) >= STORE_CHECK_AGE_NANOS;
    }

    /** Returns whether all heartbeats should request an answer, to receive confirmations sooner. */
    public boolean needsHeartbeatAnswers(long nowNanos) {
        return confirmationAge(nowNanos).orElse(HEARTBEAT_ANSWER_AGE_NANOS)
                >= HEARTBEAT_ANSWER_AGE_NANOS;
    }

    /** Returns the status to send in a heartbeat, which includes the given group terms. */
    public LocalStatus status(List<GroupTerm> groupTerms, long nowNanos) {
        List<DomainReport> reports = new ArrayList<>();
        mStoreReachedNanos.forEach(
                (domain, reachedNanos) -> {
                    if (nowNanos - reachedNanos <= MAX_AGE_NANOS) {
                        reports.add(
                                new DomainReport(domain, millis(nowNanos - reachedNanos), true));
                    }
                });
        mStoreNotReached.forEach(
                (domain, observation) -> {
                    boolean reached =
                            nowNanos - mStoreReachedNanos.getOrDefault(domain, observation.nanos())
                                            <= STORE_SILENCE_NANOS
                                    && mStoreReachedNanos.containsKey(domain);
                    if (!reached
                            && observation.version() <= mVersion
                            && nowNanos - observation.nanos() <= MAX_AGE_NANOS) {
                        reports.add(
                                new DomainReport(
                                        domain, millis(nowNanos - observation.nanos()), false));
                    }
                });
        return new LocalStatus(
                mVersion,
                confirmationAge(nowNanos).map(ConfigurationFreshness::millis),
                mStoreAttempted && !mStoreAttemptFailed,
                groupTerms,
                reports);
    }

    private Optional<Long> confirmationAge(long nowNanos) {
        return mConfirmation.map(confirmation -> Math.max(0, nowNanos - confirmation.nanos()));
    }

    private void recordConfirmation(VersionObservation confirmation) {
        mNewestVersion = Math.max(mNewestVersion, confirmation.version());
        if (confirmation.version() > mVersion) {
            mPendingConfirmation = newest(mPendingConfirmation, confirmation);
        } else if (confirmation.version() == mVersion) {
            mConfirmation = newest(mConfirmation, confirmation);
        }
    }

    private static Optional<VersionObservation> newest(
            Optional<VersionObservation> known, VersionObservation other) {
        if (known.isPresent()
                && (known.get().version() > other.version()
                        || (known.get().version() == other.version()
                                && known.get().nanos() - other.nanos() >= 0))) {
            return known;
        }
        return Optional.of(other);
    }

    private void recordDomainContact(long nowNanos) {
        if (!mDomainContacted || nowNanos - mLastDomainContactNanos > MAX_CONTACT_GAP_NANOS) {
            mDomainContactSinceNanos = nowNanos;
        }
        mDomainContacted = true;
        mLastDomainContactNanos = nowNanos;
    }

    private boolean hasStableDomainContact(long nowNanos) {
        return mDomainContacted
                && nowNanos - mLastDomainContactNanos <= MAX_CONTACT_GAP_NANOS
                && nowNanos - mDomainContactSinceNanos >= STABLE_CONTACT_NANOS;
    }

    private void recordStoreReached(FailureDomain domain, long atNanos) {
        mStoreReachedNanos.merge(domain, atNanos, (known, at) -> at - known > 0 ? at : known);
    }

    private void recordStoreNotReached(FailureDomain domain, VersionObservation observation) {
        mStoreNotReached.merge(
                domain,
                observation,
                (known, other) -> other.nanos() - known.nanos() > 0 ? other : known);
    }

    /** Returns the time until which an outage can be assumed; empty when there is none now. */
    private Optional<Long> outageUntilNanos(long nowNanos) {
        if (mNewestVersion > mVersion) {
            return Optional.empty();
        }
        for (long reachedNanos : mStoreReachedNanos.values()) {
            if (nowNanos - reachedNanos <= STORE_SILENCE_NANOS) {
                return Optional.empty();
            }
        }
        Optional<Long> end = Optional.empty();
        for (FailureDomain domain : mDomains) {
            VersionObservation observation = mStoreNotReached.get(domain);
            if (observation == null || observation.version() > mVersion) {
                return Optional.empty();
            }
            long until = observation.nanos() + MAX_AGE_NANOS;
            end = Optional.of(end.isPresent() && end.get() - until < 0 ? end.get() : until);
        }
        return end;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Converts to milliseconds, rounding up so that an age is never understated. */
    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, nanos) + 999_999);
    }

    /** Holds a version and the monotonic time of an observation about it. */
    private record VersionObservation(long version, long nanos) {}
}
