package org.plantainferry.verification.standin.group;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Holds what surrounds one server: its slots, its leaving flag and the cuts to its callers. */
final class ServerContext {
    private final DatabaseGroup mGroup;
    private final DatabaseServer mServer;
    private final GroupSettings mSettings;
    private final GroupCounters mCounters;
    private final Slots mSlots;
    private final Set<InetAddress> mCutSources = ConcurrentHashMap.newKeySet();
    private final List<Runnable> mParked = new ArrayList<>();
    private final AtomicInteger mAnswersToLose = new AtomicInteger();
    private volatile boolean mLeaving;
    private volatile long mServiceMillis;

    ServerContext(
            DatabaseGroup group,
            DatabaseServer server,
            GroupSettings settings,
            GroupCounters counters) {
        mGroup = group;
        mServer = server;
        mSettings = settings;
        mCounters = counters;
        mSlots = new Slots(settings.slotsOrDefault(), settings.queueLimitOrDefault());
        mServiceMillis = settings.serviceMillisOrDefault();
    }

    DatabaseGroup group() {
        return mGroup;
    }

    DatabaseServer server() {
        return mServer;
    }

    GroupCounters counters() {
        return mCounters;
    }

    Slots slots() {
        return mSlots;
    }

    long serviceMillis() {
        return mServiceMillis;
    }

    void setServiceMillis(long millis) {
        mServiceMillis = millis;
    }

    long openMillis() {
        return mSettings.openMillisOrDefault();
    }

    long confirmTimeoutMillis() {
        return mSettings.confirmTimeoutMillisOrDefault();
    }

    void setLeaving(boolean leaving) {
        mLeaving = leaving;
        mCounters.setLeaving(mServer.name(), leaving, System.nanoTime());
    }

    /** Returns whether new work is refused because the server leaves, and counts it if so. */
    boolean refusesNewWork() {
        if (mLeaving) {
            mCounters.newWorkWhileLeaving(mServer.name(), System.nanoTime());
        }
        return mLeaving;
    }

    void cutSource(InetAddress source) {
        mCutSources.add(source);
    }

    void healSource(InetAddress source) {
        mGroup.locked(() -> mCutSources.remove(source));
        releaseParked();
    }

    void setFrozen(boolean frozen) {
        mGroup.locked(
                () -> {
                    mGroup.replication().setFrozen(mServer.index(), frozen);
                    return true;
                });
        releaseParked();
    }

    /** Makes the next statements and commits take effect and be answered by closing. */
    void loseAnswers(int count) {
        mAnswersToLose.set(count);
    }

    boolean takeLostAnswer() {
        return mAnswersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }

    /** Waits while the process of the server is frozen. */
    void awaitThawed() throws InterruptedException {
        mGroup.await(() -> !mGroup.replication().isFrozen(mServer.index()), Long.MAX_VALUE);
    }

    /** Waits with an answer while the server is frozen or the caller is cut off. */
    void awaitReachable(InetAddress source) throws InterruptedException {
        mGroup.await(() -> isReachableLocked(source), Long.MAX_VALUE);
    }

    /**
     * Returns whether a request reaches the server now.
     *
     * <p>A request that does not is kept and handled after the thaw or heal, as bytes that TCP
     * delivers late. It occupies no thread, because probes go on while a server is frozen.
     */
    boolean reachesOrIsParked(InetAddress source, Runnable continuation) {
        return mGroup.read(
                () -> {
                    boolean isReachable = isReachableLocked(source);
                    if (!isReachable) {
                        mParked.add(continuation);
                    }
                    return isReachable;
                });
    }

    private boolean isReachableLocked(InetAddress source) {
        return !mGroup.replication().isFrozen(mServer.index()) && !mCutSources.contains(source);
    }

    private void releaseParked() {
        List<Runnable> parked =
                mGroup.read(
                        () -> {
                            List<Runnable> all = List.copyOf(mParked);
                            mParked.clear();
                            return all;
                        });
        parked.forEach(Runnable::run);
    }

    boolean isStopped() {
        return mGroup.read(() -> mGroup.replication().isStopped(mServer.index()));
    }

    GroupAnswers.State state() {
        return mGroup.read(
                () -> {
                    long now = System.nanoTime();
                    return new GroupAnswers.State(
                            mServer.name(),
                            mSettings.group(),
                            mServer.role().wireName(),
                            mServer.term(),
                            mServer.termStart(),
                            mServer.log().position(),
                            mServer.confirmedPosition(),
                            mServer.primaryContactAgeMillis(now),
                            mGroup.lagMillis(mServer),
                            mLeaving,
                            mSlots.count(),
                            mSettings.connectionLimitOrDefault());
                });
    }

    GroupAnswers.Answer fence(GroupRequests.Proposal proposal) {
        return mGroup.locked(
                () -> {
                    if (!mServer.fence(proposal.term(), proposal.proposer())) {
                        return denied();
                    }
                    long position = mServer.log().position();
                    return new GroupAnswers.Answer(
                            200,
                            new GroupAnswers.Granted(
                                    true, mServer.log().termAt(position), position));
                });
    }

    GroupAnswers.Answer promote(GroupRequests.Proposal proposal) {
        return mGroup.locked(
                () -> {
                    long now = System.nanoTime();
                    if (!mServer.promote(proposal.term(), proposal.proposer(), now)) {
                        return denied();
                    }
                    return new GroupAnswers.Answer(
                            200,
                            new GroupAnswers.Promoted(proposal.term(), mServer.log().position()));
                });
    }

    private GroupAnswers.Answer denied() {
        return new GroupAnswers.Answer(
                409, new GroupAnswers.Denied(false, mServer.term(), mServer.promisedTo()));
    }
}
