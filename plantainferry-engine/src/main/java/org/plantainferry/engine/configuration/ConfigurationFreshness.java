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
 * Decides how fresh the configuration in force is, from the store and from heartbeats.
 *
 * <p>Ages count against the holder: a confirmation or an observation dates from the time at which
 * the request that led to it was sent. Only answers to own heartbeats are used, because the time
 * that a heartbeat without a request spent on its way is unknown; such a heartbeat can only show
 * that the store is reachable, or that there is a newer version.
 *
 * <p>{@link Freshness#OUTAGE} rests on two assumptions: a change that the store accepts reaches the
 * watch of some instance before the store goes out, and instances of one failure domain that can
 * talk pass it on within seconds. An instance therefore speaks for its failure domain only after it
 * has been in touch with another instance of it for {@link #STABLE_CONTACT_NANOS}; one that was cut
 * off may have missed what the others know. An observation that the store was not reached counts
 * only for the versions up to that of the heartbeat that brought it.
 *
 * @since 0.1
 */
public final class ConfigurationFreshness {
    /** The age up to which confirmations and observations count. */
    public static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The age of the confirmation from which the store is asked again. */
    static final long STORE_CHECK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * The time since any domain last reached the store after which there can be an outage.
     *
     * <p>Instances whose confirmation is older than {@link #STORE_CHECK_AGE_NANOS} ask the store
     * about once a second, so a store that answers somebody shows within this time. It ends before
     * the confirmation that was in force at the last answer expires, so that an outage seen by all
     * interrupts nothing.
     */
    static final long STORE_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** The age of the confirmation from which every heartbeat wants an answer. */
    static final long HEARTBEAT_ANSWER_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The time in touch with its failure domain after which an instance speaks for it. */
    static final long STABLE_CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** A longer time without a heartbeat of its failure domain means it was out of touch. */
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

    /** The confirmation of a version that is not in force here yet. */
    private Optional<VersionObservation> mPendingConfirmation = Optional.empty();

    private boolean mStoreAttemptFailed;
    private long mStoreAttemptNanos;
    private boolean mStoreAttempted;
    private final Map<FailureDomain, Long> mStoreReachedNanos = new HashMap<>();
    private final Map<FailureDomain, VersionObservation> mStoreNotReached = new HashMap<>();

    /** Creates the state of an instance in a failure domain, before any contact. */
    public ConfigurationFreshness(FailureDomain domain) {
        mDomain = Preconditions.notNull(domain, "domain");
        mDomains = Set.of(domain);
    }

    /**
     * Takes in which instances the platform lists, suspected ones included.
     *
     * @param domains the failure domains that have instances
     * @param isAlone whether this instance is the only one of its failure domain
     */
    public void onInstances(Set<FailureDomain> domains, boolean isAlone) {
        mDomains = Set.copyOf(domains);
        mOnlyInstanceInDomain = isAlone;
    }

    /** Takes in that a version is in force here now. */
    public void onVersionInForce(long version) {
        mVersion = Math.max(mVersion, version);
        mNewestVersion = Math.max(mNewestVersion, version);
        if (mPendingConfirmation.isPresent() && mPendingConfirmation.get().version() <= mVersion) {
            VersionObservation pending = mPendingConfirmation.get();
            mPendingConfirmation = Optional.empty();
            recordConfirmation(pending);
        }
        // That an older version was the newest at a time bounds what can be unknown here as well:
        // every later version was accepted after that time.
        mConfirmation = mConfirmation.map(each -> new VersionObservation(mVersion, each.nanos()));
    }

    /**
     * Takes in an answer of the store.
     *
     * @param version the version that the store holds
     * @param sentNanos when the request was sent; for a watch that ended without a change, that
     *     time plus the wait it asked for, because the store answers an empty watch no sooner
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

    /** Takes in that the store refused or did not answer a request. */
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

    /** Takes in a heartbeat that was not asked for. */
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
     * Takes in the answer to an own heartbeat.
     *
     * @param sentNanos when that heartbeat was sent
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

    /** Returns until when the version in force counts as fresh. */
    public FreshnessWindow window(long nowNanos) {
        boolean hasFresh = mConfirmation.isPresent();
        long freshUntil = hasFresh ? mConfirmation.get().nanos() + MAX_AGE_NANOS : 0;
        Optional<Long> outageUntil = outageUntilNanos(nowNanos);
        return new FreshnessWindow(
                mVersion, hasFresh, freshUntil, outageUntil.isPresent(), outageUntil.orElse(0L));
    }

    /** Returns whether the store should be asked for the version now, unless a request is open. */
    public boolean isStoreCheckDue(long nowNanos) {
        boolean recent =
                mStoreAttempted && nowNanos - mStoreAttemptNanos < STORE_CHECK_AGE_NANOS / 2;
        return !recent
                && confirmationAge(nowNanos).orElse(STORE_CHECK_AGE_NANOS) >= STORE_CHECK_AGE_NANOS;
    }

    /** Returns whether all heartbeats should want an answer, to learn of confirmations sooner. */
    public boolean needsHeartbeatAnswers(long nowNanos) {
        return confirmationAge(nowNanos).orElse(HEARTBEAT_ANSWER_AGE_NANOS)
                >= HEARTBEAT_ANSWER_AGE_NANOS;
    }

    /** Returns what a heartbeat states about the configuration, with the given terms of groups. */
    public LocalStatus status(List<GroupTerm> groupTerms, long nowNanos) {
        List<DomainReport> reports = new ArrayList<>();
        mStoreReachedNanos.forEach(
                (domain, at) -> {
                    if (nowNanos - at <= MAX_AGE_NANOS) {
                        reports.add(new DomainReport(domain, millis(nowNanos - at), true));
                    }
                });
        mStoreNotReached.forEach(
                (domain, at) -> {
                    boolean reached =
                            nowNanos - mStoreReachedNanos.getOrDefault(domain, at.nanos())
                                            <= STORE_SILENCE_NANOS
                                    && mStoreReachedNanos.containsKey(domain);
                    if (!reached
                            && at.version() <= mVersion
                            && nowNanos - at.nanos() <= MAX_AGE_NANOS) {
                        reports.add(new DomainReport(domain, millis(nowNanos - at.nanos()), false));
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
        return mConfirmation.map(each -> Math.max(0, nowNanos - each.nanos()));
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

    /** Returns the end of the outage, or empty when there is none now. */
    private Optional<Long> outageUntilNanos(long nowNanos) {
        if (mNewestVersion > mVersion) {
            return Optional.empty();
        }
        for (long at : mStoreReachedNanos.values()) {
            if (nowNanos - at <= STORE_SILENCE_NANOS) {
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

    /** Rounds up, so that an age never shrinks on its way. */
    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, nanos) + 999_999);
    }

    /** Dates what was learnt of a version. */
    private record VersionObservation(long version, long nanos) {}
}
