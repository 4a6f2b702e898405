package org.plantainferry.verification.standin.group;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Decides for one server of a group: its log, role, term and fencing promise.
 *
 * <p>It has neither threads nor a clock, so tests can run it through seeded schedules. The caller
 * holds the lock of the group.
 */
final class DatabaseServer {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RECEIVE_REFUSED = -1;

    enum Role {
        PRIMARY,
        REPLICA,
        NONE;

        String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private final int mIndex;
    private final String mName;
    private final ServerLog mLog = new ServerLog();
    private final long[] mMatchedPositions;
    private final long[] mUnreadAcknowledgements;
    private final long[] mReplicaContactNanos;
    private Role mRole = Role.REPLICA;
    private long mTerm = 1;
    private long mTermStart = 1;
    private long mPromisedTerm = 1;
    private String mPromisedProposer = "";
    private long mConfirmedPosition;
    private long mPrimaryContactNanos;
    private long mCurrentAsOfNanos;

    /** Creates a server of term 1 with an empty log; server 0 is the primary. */
    DatabaseServer(int index, String name, int servers, long nowNanos) {
        mIndex = index;
        mName = name;
        mMatchedPositions = new long[servers];
        mUnreadAcknowledgements = new long[servers];
        mReplicaContactNanos = new long[servers];
        Arrays.fill(mReplicaContactNanos, nowNanos);
        mPrimaryContactNanos = nowNanos;
        mCurrentAsOfNanos = nowNanos;
        if (index == 0) {
            mRole = Role.PRIMARY;
        }
    }

    String name() {
        return mName;
    }

    int index() {
        return mIndex;
    }

    ServerLog log() {
        return mLog;
    }

    /** Returns the role; a server that is fenced has none until a primary contacts it. */
    Role role() {
        return mRole;
    }

    boolean isPrimary() {
        return mRole == Role.PRIMARY;
    }

    /** Returns the highest term that the server has promised or been in. */
    long term() {
        return mPromisedTerm;
    }

    long termStart() {
        return mTermStart;
    }

    long confirmedPosition() {
        return mConfirmedPosition;
    }

    /** Returns the time since the primary last contacted it, 0 at the primary. */
    long primaryContactAgeMillis(long nowNanos) {
        return isPrimary() ? 0 : (nowNanos - mPrimaryContactNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns how old the data may be.
     *
     * <p>At a primary it is the time since it was last in contact with a majority, beyond the usual
     * interval between contacts; a primary that is cut off may have been replaced since then.
     */
    long lagMillis(long nowNanos, long contactIntervalNanos) {
        if (!isPrimary()) {
            return Math.max(0, nowNanos - mCurrentAsOfNanos) / NANOS_PER_MILLI;
        }
        long[] contacts = mReplicaContactNanos.clone();
        contacts[mIndex] = nowNanos;
        Arrays.sort(contacts);
        long age = nowNanos - contacts[contacts.length - majority()];
        return age <= contactIntervalNanos ? 0 : age / NANOS_PER_MILLI;
    }

    /**
     * Promises a term to a proposer: the server accepts nothing of lower terms from now on.
     *
     * <p>A repeat by the same proposer is granted again as long as no primary of that term has been
     * seen, because the first answer may have been lost.
     */
    boolean fence(long term, String proposer) {
        boolean isRepeat =
                term == mPromisedTerm && term > mTerm && mPromisedProposer.equals(proposer);
        if (term <= mPromisedTerm && !isRepeat) {
            return false;
        }
        mPromisedTerm = term;
        mPromisedProposer = proposer;
        stepDown();
        return true;
    }

    String promisedProposer() {
        return mPromisedProposer;
    }

    /** Becomes the primary of a term that was promised to the proposer; a repeat has no effect. */
    boolean promote(long term, String proposer, long nowNanos) {
        if (term != mPromisedTerm || !mPromisedProposer.equals(proposer)) {
            return false;
        }
        if (mTerm == term) {
            return isPrimary();
        }
        mTerm = term;
        mRole = Role.PRIMARY;
        mLog.applyUpTo(mLog.position());
        mTermStart = mLog.position() + 1;
        Arrays.fill(mMatchedPositions, 0);
        Arrays.fill(mUnreadAcknowledgements, 0);
        Arrays.fill(mReplicaContactNanos, nowNanos);
        // Entries of earlier terms are confirmed together with this first entry of the new term.
        append(Optional.empty(), List.of(), "TERM " + term, Optional.empty(), nowNanos);
        return true;
    }

    /** Appends an entry and applies it; only at the primary. */
    LogEntry append(
            Optional<String> requestId,
            List<String> statements,
            String text,
            Optional<String> result,
            long nowNanos) {
        long position = mLog.position() + 1;
        LogEntry entry =
                new LogEntry(position, mTerm, requestId, text, result, statements, nowNanos);
        mLog.append(entry);
        mLog.applyUpTo(position);
        return entry;
    }

    /** Returns whether an entry is confirmed and still is the one of that term. */
    boolean isConfirmed(long position, long term) {
        return mConfirmedPosition >= position && mLog.termAt(position) == term;
    }

    /** Forgets the role, as a process does that ends; the log and the promise stay. */
    void restart() {
        stepDown();
    }

    /** Reads the acknowledgement of a replica and confirms what a majority has. */
    boolean readAcknowledgement(int replica) {
        if (mUnreadAcknowledgements[replica] <= mMatchedPositions[replica]) {
            return false;
        }
        mMatchedPositions[replica] = mUnreadAcknowledgements[replica];
        return advanceConfirmedPosition();
    }

    /**
     * Sends what a replica lacks and is due after its lag.
     *
     * @return whether the replica changed
     */
    boolean replicateTo(DatabaseServer replica, long lagNanos, long nowNanos) {
        long before = replica.mLog.position() + replica.mConfirmedPosition;
        long matched = replica.receiveEntries(this, lagNanos, nowNanos);
        if (matched == RECEIVE_REFUSED) {
            return false;
        }
        mReplicaContactNanos[replica.mIndex] = nowNanos;
        boolean isNewAck = matched > mUnreadAcknowledgements[replica.mIndex];
        mUnreadAcknowledgements[replica.mIndex] = matched;
        return isNewAck || before != replica.mLog.position() + replica.mConfirmedPosition;
    }

    private long receiveEntries(DatabaseServer primary, long lagNanos, long nowNanos) {
        if (primary.mTerm < mPromisedTerm) {
            return RECEIVE_REFUSED;
        }
        if (primary.mTerm == mTerm && isPrimary()) {
            throw new IllegalStateException("two primaries in term " + mTerm);
        }
        if (primary.mTerm > mTerm) {
            adoptTerm(primary);
        }
        mRole = Role.REPLICA;
        mPrimaryContactNanos = nowNanos;
        while (mLog.position() < primary.mLog.position()) {
            LogEntry next = primary.mLog.entry(mLog.position() + 1);
            if (next.appendedNanos() + lagNanos - nowNanos > 0) {
                break;
            }
            mLog.append(next);
        }
        mConfirmedPosition =
                Math.max(mConfirmedPosition, Math.min(primary.mConfirmedPosition, mLog.position()));
        mLog.applyUpTo(mConfirmedPosition);
        long horizon = nowNanos - lagNanos;
        if (primary.mConfirmedPosition > mConfirmedPosition) {
            horizon = Math.min(horizon, primary.mLog.entry(mConfirmedPosition + 1).appendedNanos());
        }
        mCurrentAsOfNanos = Math.max(mCurrentAsOfNanos, horizon);
        return mLog.position();
    }

    private void adoptTerm(DatabaseServer primary) {
        stepDown();
        long common = Math.min(mLog.position(), primary.mLog.position());
        while (mLog.termAt(common) != primary.mLog.termAt(common)) {
            common--;
        }
        if (common < mConfirmedPosition) {
            throw new IllegalStateException(
                    mName + " would lose confirmed entries after " + common);
        }
        mLog.truncateTo(common);
        mTerm = primary.mTerm;
        mTermStart = primary.mTermStart;
        if (mTerm > mPromisedTerm) {
            mPromisedTerm = mTerm;
            mPromisedProposer = primary.mPromisedProposer;
        }
    }

    private void stepDown() {
        mRole = Role.NONE;
        mLog.revertAppliedTo(mConfirmedPosition);
    }

    private boolean advanceConfirmedPosition() {
        long[] matched = mMatchedPositions.clone();
        matched[mIndex] = mLog.position();
        Arrays.sort(matched);
        long onMajority = matched[matched.length - majority()];
        if (onMajority <= mConfirmedPosition || mLog.termAt(onMajority) != mTerm) {
            return false;
        }
        mConfirmedPosition = onMajority;
        return true;
    }

    private int majority() {
        return mMatchedPositions.length / 2 + 1;
    }
}
