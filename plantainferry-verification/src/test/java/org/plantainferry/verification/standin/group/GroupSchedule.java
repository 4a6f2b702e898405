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
final class GroupSchedule {
    private static final int SERVERS = 3;
    private static final int PROPOSERS = 2;
    private static final long STEP_NANOS = 1_000_000;
    private static final long CONTACT_NANOS = 10 * STEP_NANOS;

    /** Is a write that waits for its acknowledgement, as a request does. */
    private record Waiting(DatabaseServer server, long term, LogEntry entry) {}

    /** Is the answer of a server to one proposer. */
    private record Grant(DatabaseServer server, long lastTerm, long position) {}

    private final long mSeed;
    private final Random mRandom;
    private final List<DatabaseServer> mServers = new ArrayList<>();
    private final Replication mReplication;
    private final List<Waiting> mWaiting = new ArrayList<>();
    private final Map<Long, LogEntry> mAcknowledged = new HashMap<>();
    private final Map<Long, DatabaseServer> mPrimaries = new HashMap<>();
    private final List<List<Grant>> mGrants = new ArrayList<>();
    private final long[] mProposedTerms = new long[PROPOSERS];
    private long mNow;
    private int mRequests;
    private int mPromotions;

    GroupSchedule(long seed) {
        mSeed = seed;
        mRandom = new Random(seed);
        for (int i = 0; i < SERVERS; i++) {
            mServers.add(new DatabaseServer(i, "s" + i, SERVERS, 0));
        }
        for (int i = 0; i < PROPOSERS; i++) {
            mGrants.add(new ArrayList<>());
        }
        mReplication = new Replication(mServers, STEP_NANOS, CONTACT_NANOS);
    }

    int promotions() {
        return mPromotions;
    }

    int acknowledgedWrites() {
        return mAcknowledged.size();
    }

    void step() {
        mNow += mRandom.nextInt(3) * STEP_NANOS;
        int choice = mRandom.nextInt(100);
        int server = mRandom.nextInt(SERVERS);
        if (choice < 30) {
            write(mServers.get(server));
        } else if (choice < 84) {
            mReplication.exchangeMessages(mNow);
        } else if (choice < 90) {
            int other = (server + 1) % SERVERS;
            mReplication.setCut(server, other, mRandom.nextInt(3) == 0);
        } else if (choice < 93) {
            mReplication.setFrozen(server, mRandom.nextInt(3) == 0);
        } else if (choice < 94) {
            mReplication.setStopped(server, mRandom.nextInt(3) == 0);
        } else if (choice < 96) {
            mReplication.setLagNanos(server, mRandom.nextInt(20) * STEP_NANOS);
        } else {
            propose(mRandom.nextInt(PROPOSERS), mServers.get(server));
        }
        // Elections that have begun go on quickly, or the group would rarely have a primary.
        for (int proposer = 0; proposer < PROPOSERS; proposer++) {
            if (mProposedTerms[proposer] != 0 && mRandom.nextInt(3) == 0) {
                propose(proposer, mServers.get(mRandom.nextInt(SERVERS)));
            }
        }
        acknowledge();
    }

    void healAndCheck() {
        for (int i = 0; i < SERVERS; i++) {
            mReplication.setCut(i, (i + 1) % SERVERS, false);
            mReplication.setFrozen(i, false);
            mReplication.setStopped(i, false);
            mReplication.setLagNanos(i, 0);
        }
        while (mServers.stream().noneMatch(this::isNewestPrimary)) {
            propose(0, mServers.get(mRandom.nextInt(SERVERS)));
        }
        for (int i = 0; i < 100; i++) {
            mNow += STEP_NANOS;
            mReplication.exchangeMessages(mNow);
        }
        acknowledge();
        for (DatabaseServer server : mServers) {
            assertEquals(server.log().entries(), mServers.get(0).log().entries(), seed());
            mAcknowledged.forEach(
                    (position, entry) -> assertEquals(server.log().entry(position), entry, seed()));
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
                        Optional.of("r" + mRequests++),
                        List.of(text),
                        text,
                        Optional.of("x"),
                        mNow);
        mWaiting.add(new Waiting(server, server.term(), entry));
    }

    /** Acknowledges what the server has confirmed in the term in which it was written. */
    private void acknowledge() {
        mWaiting.removeIf(
                waiting -> {
                    DatabaseServer server = waiting.server();
                    if (server.term() != waiting.term() || !server.isPrimary()) {
                        return true;
                    }
                    LogEntry entry = waiting.entry();
                    if (server.confirmedPosition() < entry.position()) {
                        return false;
                    }
                    LogEntry other = mAcknowledged.put(entry.position(), entry);
                    assertTrue(other == null, seed() + ": two writes at one position");
                    return true;
                });
    }

    /** Sends one fencing request of an election, and promotes once a majority has granted it. */
    private void propose(int proposer, DatabaseServer server) {
        if (mProposedTerms[proposer] == 0 || mRandom.nextInt(6) == 0) {
            mProposedTerms[proposer] =
                    1 + mServers.stream().mapToLong(DatabaseServer::term).max().orElseThrow();
            mGrants.get(proposer).clear();
        }
        long term = mProposedTerms[proposer];
        String name = "p" + proposer;
        if (mReplication.isStopped(server.index()) || !server.fence(term, name)) {
            return;
        }
        boolean isAnswerLost = mRandom.nextInt(5) == 0;
        List<Grant> grants = mGrants.get(proposer);
        if (isAnswerLost || grants.stream().anyMatch(g -> g.server() == server)) {
            return;
        }
        long position = server.log().position();
        grants.add(new Grant(server, server.log().termAt(position), position));
        if (grants.size() > SERVERS / 2) {
            promote(proposer, term);
        }
    }

    private void promote(int proposer, long term) {
        DatabaseServer best =
                mGrants.get(proposer).stream()
                        .max(
                                Comparator.comparingLong(Grant::lastTerm)
                                        .thenComparingLong(Grant::position))
                        .orElseThrow()
                        .server();
        mProposedTerms[proposer] = 0;
        if (best.promote(term, "p" + proposer, mNow)) {
            mPromotions++;
            DatabaseServer other = mPrimaries.put(term, best);
            assertTrue(other == null, seed() + ": two primaries in term " + term);
        }
    }

    private String seed() {
        return "seed " + mSeed;
    }
}
