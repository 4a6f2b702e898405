package org.plantainferry.verification.standin.group;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Runs one group through a seeded schedule of writes, faults and rival elections. */
final class RandomGroupSimulation {
    private static final int SERVER_COUNT = 3;
    private static final int PROPOSER_COUNT = 2;
    private static final long STEP_NANOS = 1_000_000;
    private static final long CONTACT_INTERVAL_NANOS = 10 * STEP_NANOS;

    /** Is a write that waits for its acknowledgement, as a request does. */
    private record PendingWrite(DatabaseServer server, long term, LogEntry entry) {}

    /** Is the answer of a server to one proposer. */
    private record Grant(DatabaseServer server, long lastTerm, long position) {}

    private final long mSeed;
    private final Random mRandom;
    private final List<DatabaseServer> mServers = new ArrayList<>();
    private final Replication mReplication;
    private final List<PendingWrite> mPendingWrites = new ArrayList<>();
    private final Map<Long, LogEntry> mAcknowledgedByPosition = new HashMap<>();
    private final Map<Long, DatabaseServer> mPrimaryByTerm = new HashMap<>();
    private final List<List<Grant>> mGrantsByProposer = new ArrayList<>();
    private final long[] mProposedTerms = new long[PROPOSER_COUNT];
    private long mNowNanos;
    private int mRequestCount;
    private int mPromotionCount;

    RandomGroupSimulation(long seed) {
        mSeed = seed;
        mRandom = new Random(seed);
        for (int i = 0; i < SERVER_COUNT; i++) {
            mServers.add(new DatabaseServer(i, "s" + i, SERVER_COUNT, 0));
        }
        for (int i = 0; i < PROPOSER_COUNT; i++) {
            mGrantsByProposer.add(new ArrayList<>());
        }
        mReplication = new Replication(mServers, STEP_NANOS, CONTACT_INTERVAL_NANOS);
    }

    int promotionCount() {
        return mPromotionCount;
    }

    int acknowledgedWriteCount() {
        return mAcknowledgedByPosition.size();
    }

    void step() {
        mNowNanos += mRandom.nextInt(3) * STEP_NANOS;
        int choice = mRandom.nextInt(100);
        int server = mRandom.nextInt(SERVER_COUNT);
        if (choice < 30) {
            write(mServers.get(server));
        } else if (choice < 84) {
            mReplication.exchangeMessages(mNowNanos);
        } else if (choice < 90) {
            int other = (server + 1) % SERVER_COUNT;
            mReplication.setCut(server, other, mRandom.nextInt(3) == 0);
        } else if (choice < 93) {
            mReplication.setFrozen(server, mRandom.nextInt(3) == 0);
        } else if (choice < 94) {
            mReplication.setStopped(server, mRandom.nextInt(3) == 0);
        } else if (choice < 96) {
            mReplication.setLagNanos(server, mRandom.nextInt(20) * STEP_NANOS);
        } else {
            requestFence(mRandom.nextInt(PROPOSER_COUNT), mServers.get(server));
        }
        // Elections that have begun go on quickly, or the group would rarely have a primary.
        for (int proposer = 0; proposer < PROPOSER_COUNT; proposer++) {
            if (mProposedTerms[proposer] != 0 && mRandom.nextInt(3) == 0) {
                requestFence(proposer, mServers.get(mRandom.nextInt(SERVER_COUNT)));
            }
        }
        acknowledgeConfirmedWrites();
    }

    void healAndCheck() {
        for (int i = 0; i < SERVER_COUNT; i++) {
            mReplication.setCut(i, (i + 1) % SERVER_COUNT, false);
            mReplication.setFrozen(i, false);
            mReplication.setStopped(i, false);
            mReplication.setLagNanos(i, 0);
        }
        while (mServers.stream().noneMatch(this::isNewestPrimary)) {
            requestFence(0, mServers.get(mRandom.nextInt(SERVER_COUNT)));
        }
        for (int i = 0; i < 100; i++) {
            mNowNanos += STEP_NANOS;
            mReplication.exchangeMessages(mNowNanos);
        }
        acknowledgeConfirmedWrites();
        for (DatabaseServer server : mServers) {
            assertEquals(server.log().entries(), mServers.get(0).log().entries(), seedText());
            mAcknowledgedByPosition.forEach(
                    (position, entry) ->
                            assertEquals(server.log().entry(position), entry, seedText()));
        }
    }

    private boolean isNewestPrimary(DatabaseServer server) {
        return server.isPrimary() && mServers.stream().allMatch(s -> s.term() <= server.term());
    }

    private void write(DatabaseServer server) {
        if (!server.isPrimary()) {
            return;
        }
        String text = "APPEND k x";
        LogEntry entry =
                server.append(
                        Optional.of("r" + mRequestCount++),
                        List.of(text),
                        text,
                        Optional.of("x"),
                        mNowNanos);
        mPendingWrites.add(new PendingWrite(server, server.term(), entry));
    }

    /** Acknowledges what the server has confirmed in the term in which it was written. */
    private void acknowledgeConfirmedWrites() {
        mPendingWrites.removeIf(
                waiting -> {
                    DatabaseServer server = waiting.server();
                    if (server.term() != waiting.term() || !server.isPrimary()) {
                        return true;
                    }
                    LogEntry entry = waiting.entry();
                    if (server.confirmedPosition() < entry.position()) {
                        return false;
                    }
                    LogEntry other = mAcknowledgedByPosition.put(entry.position(), entry);
                    assertTrue(other == null, seedText() + ": two writes at one position");
                    return true;
                });
    }

    /** Sends one fencing request of an election, and promotes once a majority has granted it. */
    private void requestFence(int proposer, DatabaseServer server) {
        if (mProposedTerms[proposer] == 0 || mRandom.nextInt(6) == 0) {
            mProposedTerms[proposer] =
                    1 + mServers.stream().mapToLong(DatabaseServer::term).max().orElseThrow();
            mGrantsByProposer.get(proposer).clear();
        }
        long term = mProposedTerms[proposer];
        String name = "p" + proposer;
        if (mReplication.isStopped(server.index()) || !server.fence(term, name)) {
            return;
        }
        boolean isAnswerLost = mRandom.nextInt(5) == 0;
        List<Grant> grants = mGrantsByProposer.get(proposer);
        if (isAnswerLost || grants.stream().anyMatch(g -> g.server() == server)) {
            return;
        }
        long position = server.log().position();
        grants.add(new Grant(server, server.log().termAt(position), position));
        if (grants.size() > SERVER_COUNT / 2) {
            promote(proposer, term);
        }
    }

    private void promote(int proposer, long term) {
        DatabaseServer best =
                mGrantsByProposer.get(proposer).stream()
                        .max(
                                Comparator.comparingLong(Grant::lastTerm)
                                        .thenComparingLong(Grant::position))
                        .orElseThrow()
                        .server();
        mProposedTerms[proposer] = 0;
        if (best.promote(term, "p" + proposer, mNowNanos)) {
            mPromotionCount++;
            DatabaseServer other = mPrimaryByTerm.put(term, best);
            assertTrue(other == null, seedText() + ": two primaries in term " + term);
        }
    }

    private String seedText() {
        return "seed " + mSeed;
    }
}
