package org.plantainferry.engine.replacement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;
import org.plantainferry.api.session.LogPosition;

/** Models one server of a group as section 13.2 of the design page describes it. */
final class ServerModel {
    /** One entry of the log. */
    record Entry(long term, long id) {}

    /** Sends the log of a primary to its replicas. */
    record ReplicationMessage(ServerId primary, long term, List<Entry> log) {}

    private record PendingWrite(int requiredLength, long term, Runnable onConfirmed) {}

    final ServerId mId;
    private final int mMajority;
    private final BiConsumer<ServerModel, Long> mOnPromotion;
    ServerRole mRole = ServerRole.NONE;
    long mTerm;
    private String mProposer = "";
    List<Entry> mLog = new ArrayList<>();
    boolean mLeaving;
    private long mPrimaryContactNanos = Long.MIN_VALUE / 2;
    private final Map<ServerId, Integer> mConfirmedLengths = new HashMap<>();
    private List<PendingWrite> mPendingWrites = new ArrayList<>();

    ServerModel(ServerId id, int majority, BiConsumer<ServerModel, Long> onPromotion) {
        mId = id;
        mMajority = majority;
        mOnPromotion = onPromotion;
    }

    ServerProbeResult probeResult(long nowNanos) {
        long age = mRole == ServerRole.PRIMARY ? 0 : (nowNanos - mPrimaryContactNanos) / 1_000_000;
        return new ServerProbeResult(mId, mRole, mTerm, mLog.size(), age, mLeaving);
    }

    FenceAnswer fence(long term, String proposer) {
        if (term > mTerm) {
            enterTerm(term, ServerRole.NONE);
            mProposer = proposer;
        }
        if (term != mTerm || !mProposer.equals(proposer)) {
            return new FenceAnswer.Refused(mTerm);
        }
        long last = mLog.isEmpty() ? 0 : mLog.get(mLog.size() - 1).term();
        return new FenceAnswer.Granted(new LogPosition(last, mLog.size()));
    }

    PromoteAnswer promote(long term, String proposer) {
        if (term != mTerm || !mProposer.equals(proposer) || mRole == ServerRole.REPLICA) {
            return new PromoteAnswer(false, mTerm);
        }
        if (mRole != ServerRole.PRIMARY) {
            mOnPromotion.accept(this, term);
            mRole = ServerRole.PRIMARY;
            mConfirmedLengths.clear();
            mLog = new ArrayList<>(mLog);
            mLog.add(new Entry(term, -term));
        }
        return new PromoteAnswer(true, mTerm);
    }

    /** Appends a write; the answer runs once a majority has it. */
    void write(long term, long id, Runnable answer) {
        if (mRole == ServerRole.PRIMARY && term == mTerm) {
            mLog.add(new Entry(term, id));
            mPendingWrites.add(new PendingWrite(mLog.size(), term, answer));
        }
    }

    ReplicationMessage replicationMessage() {
        return new ReplicationMessage(mId, mTerm, List.copyOf(mLog));
    }

    /** Takes in the primary's log; returns whether it was accepted. */
    boolean onReplication(ReplicationMessage message, long nowNanos) {
        if (message.term() < mTerm || mRole == ServerRole.PRIMARY && message.term() == mTerm) {
            return false;
        }
        boolean isFirst = message.term() > mTerm || mRole != ServerRole.REPLICA;
        if (message.term() > mTerm) {
            enterTerm(message.term(), ServerRole.REPLICA);
            mProposer = "";
        }
        mRole = ServerRole.REPLICA;
        mPrimaryContactNanos = nowNanos;
        if (isFirst || message.log().size() >= mLog.size()) {
            mLog = new ArrayList<>(message.log());
        }
        return true;
    }

    /** Takes in a replica's answer to a replication message of a term. */
    void onReplicationAnswer(ServerId replica, long sentTerm, int length, long replicaTerm) {
        if (replicaTerm > mTerm) {
            enterTerm(replicaTerm, ServerRole.NONE);
            mProposer = "";
        }
        if (mRole != ServerRole.PRIMARY || sentTerm != mTerm || replicaTerm != mTerm) {
            return;
        }
        mConfirmedLengths.merge(replica, length, Math::max);
        List<PendingWrite> left = new ArrayList<>();
        List<PendingWrite> done = new ArrayList<>();
        for (PendingWrite each : mPendingWrites) {
            (1 + mConfirmedLengths.values().stream().filter(n -> n >= each.requiredLength()).count()
                                    >= mMajority
                            ? done
                            : left)
                    .add(each);
        }
        mPendingWrites = left;
        done.forEach(each -> each.onConfirmed().run());
    }

    private void enterTerm(long term, ServerRole role) {
        mTerm = term;
        mRole = role;
        mPrimaryContactNanos = Long.MIN_VALUE / 2;
        mPendingWrites = new ArrayList<>();
    }
}
