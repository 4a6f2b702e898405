package org.plantainferry.engine.promotion;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against the promotion of a replica that lacks acknowledged commits, and against a group
 * that stays without a primary for a replica that cannot have any.
 */
public final class SynchronousGroupTest {
    private static final StoreEpoch EPOCH = new StoreEpoch(1);
    private static final CatalogServer PRIMARY = server("i1", 1, true, false);
    private static final CatalogServer SYNCHRONOUS = server("i2", 1, false, false);
    private static final CatalogServer DEAF = server("i3", 1, false, false);

    private SynchronousGroup mGroup;
    private long mNowNanos;

    private static CatalogServer server(
            String id, long startedAt, boolean primary, boolean draining) {
        return new CatalogServer(id, "s", "10.0.0.1:1", "a", primary, draining, 3, startedAt);
    }

    private static ReplicaState state(CatalogServer server, long received) {
        return new ReplicaState(server, false, 3, new LogPosition(3, received));
    }

    @BeforeMethod
    public void create() {
        mNowNanos = 0;
        mGroup = new SynchronousGroup();
        mGroup.onSynchronousReplicas(1, mNowNanos);
        register(PRIMARY, SYNCHRONOUS, DEAF);
        record();
    }

    /** Stores what is to be recorded. */
    private void record() {
        mGroup.onRecord(Optional.of(mGroup.membership()), EPOCH, mNowNanos);
    }

    private void register(CatalogServer... servers) {
        List<CatalogServer> registered = List.of(servers);
        Optional<CatalogServer> primary =
                registered.stream().filter(CatalogServer::primary).findFirst();
        mGroup.onServers(registered, primary, mNowNanos);
    }

    private void advance(long millis) {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private Optional<String> select(ReplicaState... states) {
        return select(mGroup, List.of(states)).map(state -> state.server().id());
    }

    private Optional<ReplicaState> select(SynchronousGroup group, List<ReplicaState> states) {
        return group.select(states, group.unanswered(states, mNowNanos), Optional.empty());
    }

    private void prove(long primaryReceived, ReplicaState... states) {
        Set<ServerLife> provable = mGroup.provable(mNowNanos).orElse(Set.of());
        mGroup.onProof(provable, new LogPosition(3, primaryReceived), List.of(states));
    }

    @Test
    public void promotesNoneWhenTheEntryOfTheReplicaWithTheCommitsIsGone() {
        register(DEAF);
        advance(60_000);
        assertEquals(select(state(DEAF, 0)), Optional.empty());
        register(SYNCHRONOUS, DEAF);
        assertEquals(select(state(SYNCHRONOUS, 20), state(DEAF, 0)), Optional.of("i2"));
    }

    /** Guards against the loss of commits by gateways that all start after the entry is gone. */
    @Test
    public void knowsFromTheRecordOfAReplicaThatItHasNeverSeen() {
        ReplicaMembership membership = mGroup.membership();
        SynchronousGroup restarted = new SynchronousGroup();
        restarted.onSynchronousReplicas(1, mNowNanos);
        restarted.onServers(List.of(DEAF), Optional.empty(), mNowNanos);
        restarted.onRecord(Optional.of(membership), EPOCH, mNowNanos);
        assertEquals(select(restarted, List.of(state(DEAF, 0))), Optional.empty());
    }

    @Test
    public void forgetsAReplicaThatLeftForGoodOnceAnotherHasEverything() {
        register(PRIMARY, DEAF);
        prove(20, state(DEAF, 25));
        assertTrue(mGroup.hasUnproven(), "the entry has been gone for a moment only");
        advance(3_000);
        prove(20, state(DEAF, 19));
        assertTrue(mGroup.hasUnproven(), "the other replica lacks a commit");
        prove(20, state(DEAF, 20));
        assertFalse(mGroup.hasUnproven());
        record();
        register(DEAF);
        assertEquals(select(state(DEAF, 20)), Optional.of("i3"));
    }

    @Test
    public void keepsAReplicaWhoseEntryWasBackBeforeTheProofEnded() {
        register(PRIMARY, DEAF);
        advance(3_000);
        Set<ServerLife> provable = mGroup.provable(mNowNanos).orElseThrow();
        register(PRIMARY, SYNCHRONOUS, DEAF);
        mGroup.onProof(provable, new LogPosition(3, 20), List.of(state(DEAF, 20)));
        register(DEAF);
        assertEquals(select(state(DEAF, 20)), Optional.empty());
    }

    /** Guards against a proof by a replica that came under a new id and has nothing yet. */
    @Test
    public void countsAReplicaUnderANewIdBesideTheOneItReplaces() {
        CatalogServer successor = server("i4", 9, false, false);
        register(PRIMARY, successor, DEAF);
        assertEquals(select(state(successor, 0), state(DEAF, 0)), Optional.empty());
        advance(3_000);
        prove(20, state(successor, 20), state(DEAF, 0));
        register(successor, DEAF);
        assertEquals(select(state(successor, 25), state(DEAF, 0)), Optional.of("i4"));
    }

    @Test
    public void countsADrainingReplica() {
        CatalogServer draining = server("i2", 1, false, true);
        register(draining, DEAF);
        assertEquals(select(state(DEAF, 0)), Optional.empty());
        assertEquals(select(state(draining, 20), state(DEAF, 0)), Optional.of("i2"));
    }

    @Test
    public void doesNotTakeAServerThatCameBackWithNothingForTheOneThatHadTheCommits() {
        CatalogServer empty = server("i2", 7, false, false);
        register(DEAF);
        register(empty, DEAF);
        for (int query = 0; query < 4; query++) {
            assertEquals(select(state(empty, 0), state(DEAF, 0)), Optional.empty());
            advance(1_000);
        }
    }

    @Test
    public void takesAServerThatCameBackWithItsLogBesideAPrimaryThatNeverAnsweredAgain() {
        CatalogServer returned = server("i2", 7, false, false);
        register(PRIMARY, DEAF);
        register(PRIMARY, returned, DEAF);
        register(returned, DEAF);
        assertEquals(select(state(returned, 20), state(DEAF, 0)), Optional.empty());
        advance(1_000);
        assertEquals(select(state(returned, 20), state(DEAF, 0)), Optional.of("i2"));
    }

    @Test
    public void takesAServerThatCameBackWithItsLogWhileThereWasNoPrimary() {
        CatalogServer returned = server("i2", 7, false, false);
        register(DEAF);
        register(returned, DEAF);
        assertEquals(select(state(returned, 20), state(DEAF, 0)), Optional.empty());
        advance(1_000);
        assertEquals(select(state(returned, 20), state(DEAF, 0)), Optional.of("i2"));
    }

    /**
     * Guards against a server that has received a part of its log again when the primary is lost.
     */
    @Test
    public void doesNotTakeAServerThatStartedAgainBesideAPrimaryForItsFormerRun() {
        CatalogServer restarted = server("i2", 7, false, false);
        register(PRIMARY, restarted, DEAF);
        assertTrue(mGroup.hasReturned());
        mGroup.onPrimaryAnswered();
        register(restarted, DEAF);
        for (int query = 0; query < 4; query++) {
            assertEquals(select(state(restarted, 9), state(DEAF, 0)), Optional.empty());
            advance(1_000);
        }
    }

    /** Guards against the same where only another instance saw the primary answer. */
    @Test
    public void doesNotTakeARecordedServerForItsFormerRun() {
        CatalogServer restarted = server("i2", 7, false, false);
        register(restarted, DEAF);
        Set<ServerLife> recorded =
                Set.of(ServerLife.of(SYNCHRONOUS), ServerLife.of(restarted), ServerLife.of(DEAF));
        mGroup.onRecord(Optional.of(new ReplicaMembership(1, recorded)), EPOCH, mNowNanos);
        for (int query = 0; query < 4; query++) {
            assertEquals(select(state(restarted, 9), state(DEAF, 0)), Optional.empty());
            advance(1_000);
        }
    }

    @Test
    public void doesNotTakeAServerThatStillReceivesForItsFormerRun() {
        CatalogServer returned = server("i2", 7, false, false);
        register(DEAF);
        register(returned, DEAF);
        for (int query = 0; query < 4; query++) {
            assertEquals(select(state(returned, 5 + query), state(DEAF, 0)), Optional.empty());
            advance(1_000);
        }
    }

    /** Guards against the loss of commits that the new primary received as a replica. */
    @Test
    public void countsAPromotedReplicaUntilAnotherHasWhatItReceived() {
        CatalogServer promoted = server("i2", 1, true, false);
        register(promoted, DEAF);
        register(DEAF);
        assertEquals(select(state(DEAF, 0)), Optional.empty());
        register(promoted, DEAF);
        prove(20, state(DEAF, 20));
        register(DEAF);
        assertEquals(select(state(DEAF, 20)), Optional.of("i3"));
    }

    @Test
    public void forgetsWhatAnotherInstanceHasProven() {
        register(PRIMARY, DEAF);
        ReplicaMembership proven = new ReplicaMembership(1, Set.of(ServerLife.of(DEAF)));
        mGroup.onRecord(Optional.of(proven), EPOCH, mNowNanos);
        assertFalse(mGroup.hasUnproven());
        assertFalse(mGroup.isRecordOutdated());
    }

    /** Guards against a replica that is forgotten because the store lost the record. */
    @Test
    public void recordsAReplicaAgainThatARestoredStoreHasLost() {
        register(PRIMARY, DEAF);
        ReplicaMembership older = new ReplicaMembership(1, Set.of(ServerLife.of(DEAF)));
        mGroup.onRecord(Optional.of(older), new StoreEpoch(2), mNowNanos);
        assertTrue(mGroup.isRecordOutdated());
        assertTrue(mGroup.membership().replicas().contains(ServerLife.of(SYNCHRONOUS)));
        mGroup.onRecord(Optional.empty(), new StoreEpoch(3), mNowNanos);
        assertTrue(mGroup.membership().replicas().contains(ServerLife.of(SYNCHRONOUS)));
    }

    @Test
    public void trustsARaisedNumberOfConfirmationsOnlyAfterAProof() {
        CatalogServer fourth = server("i4", 1, false, false);
        register(PRIMARY, SYNCHRONOUS, DEAF, fourth);
        mGroup.onSynchronousReplicas(2, mNowNanos);
        assertEquals(select(state(DEAF, 0), state(fourth, 0)), Optional.empty());
        advance(6_000);
        prove(20, state(SYNCHRONOUS, 20), state(DEAF, 0), state(fourth, 0));
        assertEquals(select(state(DEAF, 0), state(fourth, 0)), Optional.empty());
        prove(20, state(SYNCHRONOUS, 20), state(DEAF, 0), state(fourth, 20));
        assertEquals(select(state(DEAF, 0), state(fourth, 20)), Optional.of("i4"));
    }

    @Test
    public void followsALoweredNumberOfConfirmationsAtOnce() {
        SynchronousGroup group = new SynchronousGroup();
        group.onSynchronousReplicas(2, mNowNanos);
        List<CatalogServer> servers = new ArrayList<>(List.of(PRIMARY, SYNCHRONOUS, DEAF));
        group.onServers(servers, Optional.of(PRIMARY), mNowNanos);
        List<ReplicaState> states = List.of(state(DEAF, 5));
        assertTrue(select(group, states).isPresent());
        group.onSynchronousReplicas(1, mNowNanos);
        assertTrue(select(group, states).isEmpty());
    }
}
