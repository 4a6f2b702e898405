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
    private Optional<ServerId> mCandidate = Optional.empty();
    private long mCandidateChosenNanos;
    private boolean mRequestsSent;
    private long mRequestsSentNanos;
    private long mRetryIntervalNanos = GroupMonitorTiming.RETRY_INTERVAL_NANOS;
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
    Optional<ServerId> candidate() {
        return mCandidate;
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
        if (mCandidate.equals(Optional.of(server))) {
            mWon |= answer.promoted();
            mLost |= !answer.promoted() && !mWon;
        }
    }

    /**
     * Returns the requests that are due.
     *
     * @param avoided servers that are to become the primary only when no other can
     */
    List<GroupMonitorAction> dueRequests(Set<ServerId> avoided, long nowNanos) {
        List<GroupMonitorAction> actions = new ArrayList<>();
        if (mLost || mWon) {
            return actions;
        }
        if (!mHasMajority) {
            boolean hopeless = mServers.size() - mRefusals.size() < majority();
            boolean rivalled =
                    !mRefusals.isEmpty()
                            && nowNanos - mStartedNanos
                                    >= GroupMonitorTiming.COMPETING_PROPOSAL_TIMEOUT_NANOS;
            mLost = hopeless || rivalled;
        } else if (mCandidate.isEmpty()
                && nowNanos - mMajorityNanos >= GroupMonitorTiming.PROMOTION_DELAY_NANOS) {
            mCandidate = Optional.of(chooseCandidate(avoided));
            mCandidateChosenNanos = nowNanos;
            mRequestsSent = false;
        } else if (mCandidate.isPresent()
                && nowNanos - mCandidateChosenNanos >= GroupMonitorTiming.PROMOTION_TIMEOUT_NANOS) {
            mLost = true;
        }
        if (!mLost && (!mRequestsSent || nowNanos - mRequestsSentNanos >= mRetryIntervalNanos)) {
            mRequestsSent = true;
            mRequestsSentNanos = nowNanos;
            addRequests(actions);
        }
        return actions;
    }

    private void addRequests(List<GroupMonitorAction> actions) {
        if (mCandidate.isPresent()) {
            mRetryIntervalNanos = GroupMonitorTiming.RETRY_INTERVAL_NANOS;
            actions.add(new GroupMonitorAction.Promote(mCandidate.get(), mTerm, mProposer));
            return;
        }
        for (ServerId server : mServers) {
            if (!mGrants.containsKey(server) && !mRefusals.contains(server)) {
                actions.add(new GroupMonitorAction.Fence(server, mTerm, mProposer));
            }
        }
        if (mRequestsSentNanos - mStartedNanos > GroupMonitorTiming.NO_PRIMARY_TIMEOUT_NANOS) {
            mRetryIntervalNanos =
                    Math.min(2 * mRetryIntervalNanos, GroupMonitorTiming.MAX_RETRY_INTERVAL_NANOS);
        }
    }

    /**
     * Returns the most advanced server, or another one that is as advanced as a whole majority.
     *
     * <p>Every acknowledged write is on a server of each majority, so the most advanced server of
     * any majority of the granted ones has them all.
     */
    private ServerId chooseCandidate(Set<ServerId> avoided) {
        return mGrants.keySet().stream()
                .filter(this::hasAllAcknowledgedWrites)
                .min(
                        Comparator.comparing((ServerId each) -> avoided.contains(each))
                                .thenComparing(mGrants::get, Comparator.reverseOrder())
                                .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    private boolean hasAllAcknowledgedWrites(ServerId server) {
        LogPosition log = mGrants.get(server);
        return mGrants.values().stream().filter(each -> each.compareTo(log) <= 0).count()
                >= majority();
    }

    private int majority() {
        return mServers.size() / 2 + 1;
    }
}
