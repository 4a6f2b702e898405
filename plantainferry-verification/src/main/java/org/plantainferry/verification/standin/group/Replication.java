package org.plantainferry.verification.standin.group;

import java.util.Arrays;
import java.util.List;

/**
 * Passes log entries and acknowledgements between the servers of one group, as far as cuts, stops
 * and freezes allow.
 *
 * <p>Delivery and reading the acknowledgement are separate steps, so a cut can fall between them.
 * The caller holds the lock of the group.
 */
final class Replication {
    private final List<DatabaseServer> mServers;
    private final boolean[][] mLinkCut;
    private final boolean[] mStopped;
    private final boolean[] mFrozen;
    private final long[] mLagNanos;
    private final long[][] mLastContactNanos;
    private final long mContactIntervalNanos;

    Replication(List<DatabaseServer> servers, long lagNanos, long contactIntervalNanos) {
        int count = servers.size();
        mServers = servers;
        mLinkCut = new boolean[count][count];
        mStopped = new boolean[count];
        mFrozen = new boolean[count];
        mLagNanos = new long[count];
        mLastContactNanos = new long[count][count];
        mContactIntervalNanos = contactIntervalNanos;
        Arrays.fill(mLagNanos, lagNanos);
    }

    void setCut(int first, int second, boolean cut) {
        mLinkCut[first][second] = cut;
        mLinkCut[second][first] = cut;
    }

    void setFrozen(int server, boolean frozen) {
        mFrozen[server] = frozen;
    }

    boolean isFrozen(int server) {
        return mFrozen[server];
    }

    void setStopped(int server, boolean stopped) {
        mStopped[server] = stopped;
        if (stopped) {
            mServers.get(server).restart();
        }
    }

    boolean isStopped(int server) {
        return mStopped[server];
    }

    void setLagNanos(int server, long nanos) {
        mLagNanos[server] = nanos;
    }

    /** Exchanges messages once between every primary and its replicas; false when none was due. */
    boolean exchangeMessages(long nowNanos) {
        boolean isChanged = false;
        for (DatabaseServer primary : mServers) {
            for (DatabaseServer replica : mServers) {
                if (primary != replica && primary.isPrimary() && isConnected(primary, replica)) {
                    isChanged |= primary.readAcknowledgement(replica.index());
                    isChanged |= replicate(primary, replica, nowNanos);
                }
            }
        }
        return isChanged;
    }

    /** Returns whether a replica that can be reached lacks entries, perhaps because of its lag. */
    boolean hasPendingEntries() {
        for (DatabaseServer primary : mServers) {
            for (DatabaseServer replica : mServers) {
                if (primary.isPrimary()
                        && isConnected(primary, replica)
                        && replica.term() <= primary.term()
                        && replica.log().position() < primary.log().position()) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean replicate(DatabaseServer primary, DatabaseServer replica, long nowNanos) {
        long sinceContact = nowNanos - mLastContactNanos[primary.index()][replica.index()];
        boolean isDue =
                sinceContact >= mContactIntervalNanos
                        || replica.log().position() < primary.log().position()
                        || replica.confirmedPosition() < primary.confirmedPosition()
                        || replica.term() < primary.term();
        if (!isDue) {
            return false;
        }
        mLastContactNanos[primary.index()][replica.index()] = nowNanos;
        return primary.replicateTo(replica, mLagNanos[replica.index()], nowNanos);
    }

    private boolean isConnected(DatabaseServer first, DatabaseServer second) {
        return isRunning(first.index())
                && isRunning(second.index())
                && !mLinkCut[first.index()][second.index()];
    }

    private boolean isRunning(int server) {
        return !mStopped[server] && !mFrozen[server];
    }
}
