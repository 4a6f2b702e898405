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
    record Replication(ServerId primary, long term, List<Entry> log) {}

    private record Waiting(int length, long term, Runnable answer) {}

    final ServerId mId;
    private final int mMajority;
    private final BiConsumer<ServerModel, Long> mOnPromotion;
    ServerRole mRole = ServerRole.NONE;
    long mTerm;
    private String mProposer = "";
    List<Entry> mLog = new ArrayList<>();
    boolean mLeaving;
    private long mContactNanos = Long.MIN_VALUE / 2;
    private final Map<ServerId, Integer> mConfirmed = new HashMap<>();
    private List<Waiting> mWaiting = new ArrayList<>();

    ServerModel(ServerId id, int majority, BiConsumer<ServerModel, Long> onPromotion) {
        mId = id;
        mMajority = majority;
        mOnPromotion = onPromotion;
    }

    ServerProbeResult state(long nowNanos) {
        long age = mRole == ServerRole.PRIMARY ? 0 : (nowNanos - mContactNanos) / 1_000_000;
        return new ServerProbeResult(mId, mRole, mTerm, mLog.size(), age, mLeaving);
    }

    FenceAnswer fence(long term, String proposer) {
        if (term > mTerm) {
            enter(term, ServerRole.NONE);
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
            mConfirmed.clear();
            mLog = new ArrayList<>(mLog);
            mLog.add(new Entry(term, -term));
        }
        return new PromoteAnswer(true, mTerm);
    }

    /** Appends a write; the answer runs once a majority has it. */
    void write(long term, long id, Runnable answer) {
        if (mRole == ServerRole.PRIMARY && term == mTerm) {
            mLog.add(new Entry(term, id));
            mWaiting.add(new Waiting(mLog.size(), term, answer));
        }
    }

    Replication replication() {
        return new Replication(mId, mTerm, List.copyOf(mLog));
    }

    /** Takes in the primary's log; returns whether it was accepted. */
    boolean replicate(Replication message, long nowNanos) {
        if (message.term() < mTerm || mRole == ServerRole.PRIMARY && message.term() == mTerm) {
            return false;
        }
        boolean isFirst = message.term() > mTerm || mRole != ServerRole.REPLICA;
        if (message.term() > mTerm) {
            enter(message.term(), ServerRole.REPLICA);
            mProposer = "";
        }
        mRole = ServerRole.REPLICA;
        mContactNanos = nowNanos;
        if (isFirst || message.log().size() >= mLog.size()) {
            mLog = new ArrayList<>(message.log());
        }
        return true;
    }

    /** Takes in a replica's answer to a replication message of a term. */
    void confirm(ServerId replica, long sentTerm, int length, long replicaTerm) {
        if (replicaTerm > mTerm) {
            enter(replicaTerm, ServerRole.NONE);
            mProposer = "";
        }
        if (mRole != ServerRole.PRIMARY || sentTerm != mTerm || replicaTerm != mTerm) {
            return;
        }
        mConfirmed.merge(replica, length, Math::max);
        List<Waiting> left = new ArrayList<>();
        List<Waiting> done = new ArrayList<>();
        for (Waiting each : mWaiting) {
            (1 + mConfirmed.values().stream().filter(n -> n >= each.length()).count() >= mMajority
                            ? done
                            : left)
                    .add(each);
        }
        mWaiting = left;
        done.forEach(each -> each.answer().run());
    }

    private void enter(long term, ServerRole role) {
        mTerm = term;
        mRole = role;
        mContactNanos = Long.MIN_VALUE / 2;
        mWaiting = new ArrayList<>();
    }
}
