package org.plantainferry.verification.standin.group;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Holds the environment of one server: its slots, leaving flag and cuts from its callers. */
final class ServerContext {
    private final DatabaseGroup mGroup;
    private final DatabaseServer mServer;
    private final GroupSettings mSettings;
    private final GroupCounters mCounters;
    private final StatementSlots mSlots;
    private final Set<InetAddress> mCutSources = ConcurrentHashMap.newKeySet();
    private final List<Runnable> mHeldRequests = new ArrayList<>();
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
        mSlots = new StatementSlots(settings.slotsOrDefault(), settings.queueLimitOrDefault());
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

    StatementSlots slots() {
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

    /** Returns whether new work is refused because the server is leaving, and counts it if so. */
    boolean refuseNewWorkIfLeaving() {
        if (mLeaving) {
            mCounters.countNewWorkWhileLeaving(mServer.name(), System.nanoTime());
        }
        return mLeaving;
    }

    void cutSource(InetAddress source) {
        mCutSources.add(source);
    }

    void healSource(InetAddress source) {
        mGroup.updateLocked(() -> mCutSources.remove(source));
        resumeHeldRequests();
    }

    void setFrozen(boolean frozen) {
        mGroup.updateLocked(
                () -> {
                    mGroup.replication().setFrozen(mServer.index(), frozen);
                    return true;
                });
        resumeHeldRequests();
    }

    /** Applies the next statements and commits, but closes their connections without responses. */
    void loseAnswers(int count) {
        mAnswersToLose.set(count);
    }

    boolean consumeLostAnswer() {
        return mAnswersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }

    /** Blocks while the server is frozen. */
    void awaitNotFrozen() throws InterruptedException {
        mGroup.await(() -> !mGroup.replication().isFrozen(mServer.index()), Long.MAX_VALUE);
    }

    /** Blocks a response while the server is frozen or the caller is cut off. */
    void awaitReachable(InetAddress source) throws InterruptedException {
        mGroup.await(() -> isReachableLocked(source), Long.MAX_VALUE);
    }

    /**
     * Returns whether a request reaches the server now, and holds it otherwise.
     *
     * <p>A held request is handled after the thaw or heal, like bytes that TCP delivers late. It
     * does not occupy a thread, because probes keep arriving while a server is frozen.
     *
     * @param continuation runs once for a held request and checks again whether it is reachable
     */
    boolean holdUnlessReachable(InetAddress source, Runnable continuation) {
        return mGroup.readLocked(
                () -> {
                    boolean isReachable = isReachableLocked(source);
                    if (!isReachable) {
                        mHeldRequests.add(continuation);
                    }
                    return isReachable;
                });
    }

    private boolean isReachableLocked(InetAddress source) {
        return !mGroup.replication().isFrozen(mServer.index()) && !mCutSources.contains(source);
    }

    private void resumeHeldRequests() {
        List<Runnable> heldRequests =
                mGroup.readLocked(
                        () -> {
                            List<Runnable> requests = List.copyOf(mHeldRequests);
                            mHeldRequests.clear();
                            return requests;
                        });
        heldRequests.forEach(Runnable::run);
    }

    boolean isStopped() {
        return mGroup.readLocked(() -> mGroup.replication().isStopped(mServer.index()));
    }

    GroupResponses.State state() {
        return mGroup.readLocked(
                () -> {
                    long now = System.nanoTime();
                    return new GroupResponses.State(
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

    GroupResponses.Response fence(GroupRequests.Proposal proposal) {
        return mGroup.updateLocked(
                () -> {
                    if (!mServer.fence(proposal.term(), proposal.proposer())) {
                        return denied();
                    }
                    long position = mServer.log().position();
                    return new GroupResponses.Response(
                            200,
                            new GroupResponses.Granted(
                                    true, mServer.log().termAt(position), position));
                });
    }

    GroupResponses.Response promote(GroupRequests.Proposal proposal) {
        return mGroup.updateLocked(
                () -> {
                    long now = System.nanoTime();
                    if (!mServer.promote(proposal.term(), proposal.proposer(), now)) {
                        return denied();
                    }
                    return new GroupResponses.Response(
                            200,
                            new GroupResponses.Promoted(proposal.term(), mServer.log().position()));
                });
    }

    private GroupResponses.Response denied() {
        return new GroupResponses.Response(
                409, new GroupResponses.Denied(false, mServer.term(), mServer.promisedProposer()));
    }
}
