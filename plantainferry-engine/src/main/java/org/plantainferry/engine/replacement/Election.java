package org.plantainferry.engine.replacement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.session.LogPosition;

/**
 * Runs one proposal for one term: fences a majority, waits the acknowledgement window out, and
 * promotes one server.
 *
 * <p>At most one server is ever asked to be the primary of the term, because the request may have
 * taken effect although its answer was lost. A proposal without a majority keeps asking for the
 * same term, as servers that granted it cannot follow the old primary any more.
 */
final class Election {
    private final long mTerm;
    private final String mProposer;
    private final List<ServerId> mServers;
    private final long mStartedNanos;
    private final Map<ServerId, LogPosition> mGrants = new HashMap<>();
    private final Set<ServerId> mRefusals = new HashSet<>();
    private boolean mHasMajority;
    private long mMajorityNanos;
    private Optional<ServerId> mChosen = Optional.empty();
    private long mChosenNanos;
    private boolean mSent;
    private long mSentNanos;
    private long mIntervalNanos = GuardianTiming.REPEAT_NANOS;
    private boolean mLost;
    private boolean mWon;

    Election(long term, String proposer, List<ServerId> servers, long nowNanos) {
        mTerm = term;
        mProposer = proposer;
        mServers = servers;
        mStartedNanos = nowNanos;
    }

    long term() {
        return mTerm;
    }

    boolean isLost() {
        return mLost;
    }

    /** Returns the server that was asked to become the primary. */
    Optional<ServerId> chosen() {
        return mChosen;
    }

    void onFenceAnswer(ServerId server, FenceAnswer answer, long nowNanos) {
        if (answer instanceof FenceAnswer.Granted granted) {
            mGrants.putIfAbsent(server, granted.log());
            if (!mHasMajority && mGrants.size() >= majority()) {
                mHasMajority = true;
                mMajorityNanos = nowNanos;
            }
        } else if (!mGrants.containsKey(server)) {
            mRefusals.add(server);
        }
    }

    void onPromoteAnswer(ServerId server, PromoteAnswer answer) {
        if (mChosen.equals(Optional.of(server))) {
            mWon |= answer.promoted();
            mLost |= !answer.promoted() && !mWon;
        }
    }

    /**
     * Returns the requests that are due.
     *
     * @param avoided servers that are to become the primary only when no other can
     */
    List<GroupMonitorAction> step(Set<ServerId> avoided, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mLost || mWon) {
            return actions;
        }
        if (!mHasMajority) {
            boolean hopeless = mServers.size() - mRefusals.size() < majority();
            boolean rivalled =
                    !mRefusals.isEmpty() && nowNanos - mStartedNanos >= GuardianTiming.RIVAL_NANOS;
            mLost = hopeless || rivalled;
        } else if (mChosen.isEmpty()
                && nowNanos - mMajorityNanos >= GuardianTiming.WINDOW_WAIT_NANOS) {
            mChosen = Optional.of(choose(avoided));
            mChosenNanos = nowNanos;
            mSent = false;
        } else if (mChosen.isPresent() && nowNanos - mChosenNanos >= GuardianTiming.PROMOTE_NANOS) {
            mLost = true;
        }
        if (!mLost && (!mSent || nowNanos - mSentNanos >= mIntervalNanos)) {
            mSent = true;
            mSentNanos = nowNanos;
            send(actions);
        }
        return actions;
    }

    private void send(List<GroupMonitorAction> actions) {
        if (mChosen.isPresent()) {
            mIntervalNanos = GuardianTiming.REPEAT_NANOS;
            actions.add(new GroupMonitorAction.Promote(mChosen.get(), mTerm, mProposer));
            return;
        }
        for (ServerId server : mServers) {
            if (!mGrants.containsKey(server) && !mRefusals.contains(server)) {
                actions.add(new GroupMonitorAction.Fence(server, mTerm, mProposer));
            }
        }
        if (mSentNanos - mStartedNanos > GuardianTiming.NO_PRIMARY_NANOS) {
            mIntervalNanos = Math.min(2 * mIntervalNanos, GuardianTiming.MAX_REPEAT_NANOS);
        }
    }

    /**
     * Returns the most advanced server, or another one that is as advanced as a whole majority.
     *
     * <p>Every acknowledged write is on a server of each majority, so the most advanced server of
     * any majority of the granted ones has them all.
     */
    private ServerId choose(Set<ServerId> avoided) {
        return mGrants.keySet().stream()
                .filter(this::isSafe)
                .min(
                        Comparator.comparing((ServerId each) -> avoided.contains(each))
                                .thenComparing(mGrants::get, Comparator.reverseOrder())
                                .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    private boolean isSafe(ServerId server) {
        LogPosition log = mGrants.get(server);
        return mGrants.values().stream().filter(each -> each.compareTo(log) <= 0).count()
                >= majority();
    }

    private int majority() {
        return mServers.size() / 2 + 1;
    }
}
