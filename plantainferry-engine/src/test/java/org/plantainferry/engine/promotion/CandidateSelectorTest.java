package org.plantainferry.engine.promotion;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.CatalogServer;
import org.testng.annotations.Test;

/** Guards against a promotion that loses an acknowledged commit. */
public final class CandidateSelectorTest {
    private static ReplicaState state(String id, long received, boolean draining) {
        CatalogServer server = new CatalogServer(id, "s", "10.0.0.1:1", "a", false, draining, 3, 0);
        return new ReplicaState(server, false, 3, new LogPosition(3, received));
    }

    @Test
    public void selectsReplicaWithHighestReceivedPosition() {
        Optional<ReplicaState> chosen =
                CandidateSelector.select(List.of(state("r1", 5, false), state("r2", 9, false)));
        assertEquals(chosen.map(state -> state.server().id()), Optional.of("r2"));
    }

    @Test
    public void doesNotSelectDrainingReplica() {
        Optional<ReplicaState> chosen =
                CandidateSelector.select(List.of(state("r1", 5, false), state("r2", 9, true)));
        assertEquals(chosen.map(state -> state.server().id()), Optional.of("r1"));
    }

    @Test
    public void requiresStatesOfAllReplicasWithOneSynchronousReplica() {
        Optional<ReplicaState> chosen =
                CandidateSelector.selectWithAllCommits(
                        List.of(state("r1", 5, false)), 1, 1, Optional.empty());
        assertEquals(chosen, Optional.empty());
    }

    /** Guards against a group that stays without a primary while one of its replicas is leaving. */
    @Test
    public void acceptsOneReplicaThatHasReceivedAllCommitsOfAPrimaryThatSteppedDown() {
        Optional<ReplicaState> chosen =
                CandidateSelector.selectWithAllCommits(
                        List.of(state("r1", 5, false)), 1, 1, Optional.of(new LogPosition(3, 5)));
        assertEquals(chosen.map(state -> state.server().id()), Optional.of("r1"));
    }

    @Test
    public void refusesAReplicaThatLacksACommitOfAPrimaryThatSteppedDown() {
        Optional<ReplicaState> chosen =
                CandidateSelector.selectWithAllCommits(
                        List.of(state("r1", 5, false)), 1, 1, Optional.of(new LogPosition(3, 6)));
        assertEquals(chosen, Optional.empty());
    }

    /** Guards against the loss of commits that only a leaving replica has confirmed. */
    @Test
    public void selectsADrainingReplicaThatAloneHasAllCommits() {
        Optional<ReplicaState> chosen =
                CandidateSelector.selectWithAllCommits(
                        List.of(state("r1", 5, false), state("r2", 9, true)),
                        0,
                        1,
                        Optional.empty());
        assertEquals(chosen.map(state -> state.server().id()), Optional.of("r2"));
    }

    @Test
    public void selectsAReplicaThatStaysWhereItHasAsMuchAsADrainingOne() {
        Optional<ReplicaState> chosen =
                CandidateSelector.selectWithAllCommits(
                        List.of(state("r1", 9, false), state("r2", 9, true)),
                        0,
                        1,
                        Optional.empty());
        assertEquals(chosen.map(state -> state.server().id()), Optional.of("r1"));
    }

    @Test
    public void needsOneReplicaLessWhereTwoConfirmEachCommit() {
        Optional<ReplicaState> chosen =
                CandidateSelector.selectWithAllCommits(
                        List.of(state("r1", 5, false), state("r2", 9, false)),
                        1,
                        2,
                        Optional.empty());
        assertEquals(chosen.map(state -> state.server().id()), Optional.of("r2"));
    }
}
