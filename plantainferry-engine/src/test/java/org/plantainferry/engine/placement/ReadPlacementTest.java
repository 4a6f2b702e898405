package org.plantainferry.engine.placement;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.capacity.UnlimitedServerRoom;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.catalog.CatalogServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against reads from servers that are slow, unresponsive or behind while others are
 * available.
 */
public final class ReadPlacementTest {
    private static final long NOW = 5_000_000_000L;
    private static final Optional<LogPosition> REQUIRED = Optional.of(new LogPosition(3, 100));

    private static final WorkKind READ = new WorkKind("d", WorkKind.Step.READ);

    private ServerHealth mPrimary;
    private ServerHealth mNear;
    private ServerHealth mFar;
    private boolean mNearDraining;

    @BeforeMethod
    public void resetServers() {
        mPrimary = new ServerHealth();
        mNear = new ServerHealth();
        mFar = new ServerHealth();
        mNearDraining = false;
    }

    private String choose(Set<String> excluded) {
        return choose(excluded, Set.of("primary", "near", "far"));
    }

    private String choose(Set<String> excluded, Set<String> connected) {
        return choose(excluded, connected, ConnectionAvailability.AT_LIMIT);
    }

    private String choose(
            Set<String> excluded, Set<String> connected, ConnectionAvailability others) {
        return chooseIfAny(excluded, connected, others).orElseThrow();
    }

    private Optional<String> chooseIfAny(Set<String> excluded) {
        return chooseIfAny(
                excluded, Set.of("primary", "near", "far"), ConnectionAvailability.AT_LIMIT);
    }

    private Optional<String> chooseIfAny(
            Set<String> excluded, Set<String> connected, ConnectionAvailability others) {
        List<ReadCandidate> candidates =
                List.of(
                        new ReadCandidate(
                                server("primary", "b", true, false),
                                mPrimary,
                                new UnlimitedServerRoom(),
                                true,
                                false,
                                0,
                                connected.contains("primary")
                                        ? ConnectionAvailability.IDLE
                                        : others),
                        new ReadCandidate(
                                server("near", "a", false, mNearDraining),
                                mNear,
                                new UnlimitedServerRoom(),
                                false,
                                true,
                                0,
                                connected.contains("near") ? ConnectionAvailability.IDLE : others),
                        new ReadCandidate(
                                server("far", "c", false, false),
                                mFar,
                                new UnlimitedServerRoom(),
                                false,
                                false,
                                0,
                                connected.contains("far") ? ConnectionAvailability.IDLE : others));
        ReadDemand demand = new ReadDemand(READ, REQUIRED, excluded, NOW, true);
        return new ReadPlacement("a", ReadTimeEstimate.byResponseTimes())
                .choose(candidates, demand, 0, NOW)
                .map(candidate -> candidate.server().id());
    }

    private static CatalogServer server(
            String id, String domain, boolean primary, boolean draining) {
        return new CatalogServer(id, "s", "10.0.0.1:1", domain, primary, draining, 3, 0);
    }

    @Test
    public void prefersTheNearReplica() {
        assertEquals(choose(Set.of()), "near");
    }

    @Test
    public void skipsReplicasThatAreKnownToBeBehind() {
        mNear.onPosition(NOW, new LogPosition(3, 99));
        mFar.onPosition(NOW, new LogPosition(3, 99));
        assertEquals(choose(Set.of()), "primary");
    }

    @Test
    public void avoidsAServerThatFailedRecently() {
        mNear.onFailure(NOW);
        assertEquals(choose(Set.of()).equals("near"), false);
    }

    @Test
    public void spreadsReadsWhenTheNearReplicaIsLoaded() {
        for (int index = 0; index < 9; index++) {
            mNear.onStatementSent();
        }
        assertEquals(choose(Set.of()).equals("near"), false);
    }

    /** Guards against reads from a leaving server after all others have refused. */
    @Test
    public void choosesNoLeavingServerWhileTheGroupHasOthers() {
        mNearDraining = true;
        assertEquals(chooseIfAny(Set.of("primary", "far")), Optional.empty());
        assertEquals(chooseIfAny(Set.of("primary")), Optional.of("far"));
    }

    /** Guards against repeated reads from replicas that are behind while the primary is busy. */
    @Test
    public void choosesNoReplicaThatIsKnownToBeBehind() {
        mNear.onPosition(NOW, new LogPosition(3, 99));
        mFar.onPosition(NOW, new LogPosition(3, 99));
        assertEquals(chooseIfAny(Set.of("primary")), Optional.empty());
    }

    @Test
    public void avoidsAReplicaLongerEachTimeItIsBehind() {
        mNear.onPosition(NOW - 500_000_000L, new LogPosition(3, 99));
        assertEquals(choose(Set.of()), "near");
        mNear.onBehind();
        mNear.onBehind();
        mNear.onBehind();
        assertEquals(choose(Set.of()).equals("near"), false);
        mNear.onAnswer(NOW, 1_000_000);
        assertEquals(choose(Set.of()), "near");
    }

    /**
     * Guards against opening a connection for almost every read when many workspaces share few
     * connections.
     */
    @Test
    public void prefersAnIdleConnectionInAnotherFailureDomain() {
        assertEquals(choose(Set.of(), Set.of("far")), "far");
    }

    /**
     * Guards against sending all reads to the primary, where the first write left an idle
     * connection.
     */
    @Test
    public void opensAConnectionAtAReplicaThatHasRoom() {
        assertEquals(choose(Set.of(), Set.of("primary"), ConnectionAvailability.CAN_OPEN), "near");
    }

    @Test
    public void opensANewConnectionAtTheNearReplicaWhenNoneIsIdle() {
        assertEquals(choose(Set.of(), Set.of()), "near");
    }

    @Test
    public void considersTheTimeToOpenConnections() {
        for (int round = 0; round < 40; round++) {
            mNear.onOpened(NOW, 1_000_000);
            mFar.onOpened(NOW, 1_000_000);
        }
        assertEquals(choose(Set.of(), Set.of("far")), "near");
    }

    @Test
    public void choosesNoServerThatRefusedAlready() {
        assertEquals(choose(Set.of("near", "primary")), "far");
    }
}
