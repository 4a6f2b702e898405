package org.plantainferry.verification.standin.group;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

/** Checks the rules of fencing, promotion and confirmation, on which every other test rests. */
public final class DatabaseServerTest {
    private static final int SERVER_COUNT = 3;
    private static final int SEED_COUNT = 2_000;

    /** Guards against two primaries in one term, who would both confirm writes. */
    @Test
    public void grantsMajorityOfTermToOneProposerOnly() {
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            Random random = new Random(seed);
            List<DatabaseServer> servers = createServers();
            int[] grants = new int[2];
            boolean[][] isGranted = new boolean[2][SERVER_COUNT];
            for (int call = 0; call < 12; call++) {
                int proposer = random.nextInt(2);
                int server = random.nextInt(SERVER_COUNT);
                if (servers.get(server).fence(2, "p" + proposer) && !isGranted[proposer][server]) {
                    isGranted[proposer][server] = true;
                    grants[proposer]++;
                }
            }
            assertTrue(grants[0] < 2 || grants[1] < 2, "seed " + seed);
        }
    }

    /** Guards against promotion by a proposer to whom the server promised nothing. */
    @Test
    public void promotesOnlyForProposerWithPromise() {
        DatabaseServer server = createServers().get(1);
        assertFalse(server.promote(2, "p0", 0));
        assertTrue(server.fence(2, "p0"));
        assertFalse(server.promote(2, "p1", 0));
        assertTrue(server.promote(2, "p0", 0));
        assertTrue(server.promote(2, "p0", 0), "a repeat after a lost answer");
        assertEquals(server.log().position(), 1, "a repeat begins no second term");
        assertFalse(server.fence(2, "p0"), "a term with a primary is not granted again");
        assertFalse(server.fence(1, "p0"), "a lower term is not granted");
    }

    /** Guards against confirmation by a replica that promised a newer term. */
    @Test
    public void confirmsNothingThroughFencedReplicas() {
        List<DatabaseServer> servers = createServers();
        servers.get(1).fence(2, "p0");
        servers.get(2).fence(2, "p0");
        append(servers.get(0), "r1");
        replicate(servers.get(0), servers.get(1));
        replicate(servers.get(0), servers.get(2));
        assertEquals(servers.get(0).confirmedPosition(), 0);
        assertEquals(servers.get(1).log().position(), 0);
    }

    /** Guards against an old primary that keeps writes which the group never confirmed. */
    @Test
    public void truncatesUnconfirmedTailOfFormerPrimary() {
        List<DatabaseServer> servers = createServers();
        append(servers.get(0), "shared");
        replicate(servers.get(0), servers.get(1));
        append(servers.get(0), "lost");
        servers.get(1).fence(2, "p0");
        servers.get(2).fence(2, "p0");
        servers.get(1).promote(2, "p0", 0);
        replicate(servers.get(1), servers.get(0));
        assertEquals(servers.get(0).role(), DatabaseServer.Role.REPLICA);
        assertEquals(servers.get(0).log().entries(), servers.get(1).log().entries());
        assertTrue(servers.get(0).log().entryForRequest("lost").isEmpty());
        assertEquals(servers.get(0).confirmedPosition(), 2);
    }

    /** Guards against reads of entries at a replica before they are confirmed. */
    @Test
    public void appliesOnlyConfirmedEntriesAtReplica() {
        List<DatabaseServer> servers = createServers();
        append(servers.get(0), "r1");
        servers.get(0).replicateTo(servers.get(1), 0, 0);
        assertEquals(servers.get(1).log().position(), 1);
        assertEquals(servers.get(1).log().appliedPosition(), 0);
        replicate(servers.get(0), servers.get(1));
        assertEquals(servers.get(1).log().appliedPosition(), 1);
    }

    /** Guards against the loss of acknowledged writes under cuts, stops and rival proposers. */
    @Test
    public void keepsAcknowledgedWritesThroughEveryChangeOfPrimary() {
        int changes = 0;
        int acknowledged = 0;
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            RandomGroupSimulation schedule = new RandomGroupSimulation(seed);
            for (int step = 0; step < 300; step++) {
                schedule.step();
            }
            schedule.healAndCheck();
            changes += schedule.promotionCount();
            acknowledged += schedule.acknowledgedWriteCount();
        }
        assertTrue(changes > SEED_COUNT, "too few changes of primary: " + changes);
        assertTrue(acknowledged > 10 * SEED_COUNT, "too few writes: " + acknowledged);
    }

    private static List<DatabaseServer> createServers() {
        List<DatabaseServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            servers.add(new DatabaseServer(i, "s" + i, SERVER_COUNT, 0));
        }
        return servers;
    }

    private static void append(DatabaseServer primary, String requestId) {
        primary.append(Optional.of(requestId), List.of("ADD k 1"), "ADD k 1", Optional.of("1"), 0);
    }

    private static void replicate(DatabaseServer primary, DatabaseServer replica) {
        primary.replicateTo(replica, 0, 0);
        primary.readAcknowledgement(replica.index());
        primary.replicateTo(replica, 0, 0);
    }
}
