package org.plantainferry.engine.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.ObjLongConsumer;
import org.plantainferry.engine.capacity.ServerRoom.Outcome;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.placement.ConnectionAvailability;
import org.plantainferry.engine.placement.ReadCandidate;
import org.plantainferry.engine.placement.ReadDemand;
import org.plantainferry.engine.placement.ReadPlacement;
import org.plantainferry.engine.placement.ReadTimeEstimate;
import org.plantainferry.engine.placement.ServerHealth;

/** Simulates an instance that sends reads to replicas, and keeps what exceeds their room. */
final class SimulatedInstance {
    private static final double NETWORK_MILLIS = 1;

    private final SimulatedServer.Time mTime;
    private final Random mRandom;
    private final int mPreferred;
    private final ReadPlacement mPlacement;
    private final List<Link> mLinks = new ArrayList<>();

    /** Connects the instance to one replica. */
    private final class Link {
        private final SimulatedServer mServer;
        private final CatalogServer mEntry;
        private final ServerHealth mHealth = new ServerHealth();
        private final ServerRoom mRoom;
        private final Deque<Runnable> mWaiting = new ArrayDeque<>();

        Link(SimulatedServer server, int index, int slots, ServerRoom room) {
            mServer = server;
            String domain = String.valueOf(index);
            mEntry = new CatalogServer(domain, "s", "10.0.0.1:1", domain, false, false, slots, 0);
            mRoom = room;
        }

        void offer(WorkKind kind, double millis, Runnable callback) {
            mWaiting.add(() -> send(kind, millis, callback));
            sendWaiting();
        }

        private void sendWaiting() {
            while (!mWaiting.isEmpty() && mRoom.inFlight() < mRoom.limit(mTime.now())) {
                mWaiting.poll().run();
            }
        }

        private void send(WorkKind kind, double millis, Runnable callback) {
            long sent = mTime.now();
            mHealth.onStatementSent();
            mRoom.onSent(kind, sent);
            mServer.send(
                    millis,
                    outcome ->
                            mTime.after(
                                    NETWORK_MILLIS,
                                    () -> {
                                        end(kind, outcome, mTime.now() - sent);
                                        callback.run();
                                    }));
        }

        private void end(WorkKind kind, Outcome outcome, long elapsed) {
            mHealth.onStatementEnded();
            mHealth.onAnswer(mTime.now(), elapsed);
            mRoom.onEnded(kind, outcome, elapsed, mTime.now());
            sendWaiting();
        }
    }

    /**
     * Creates an instance in the failure domain of one replica.
     *
     * @param instances the number of instances that send to the replicas
     */
    SimulatedInstance(
            SimulatedServer.Time time,
            Random random,
            List<SimulatedServer> servers,
            int slots,
            int preferred,
            int instances,
            boolean learned) {
        mTime = time;
        mRandom = random;
        mPreferred = preferred;
        mPlacement =
                new ReadPlacement(
                        String.valueOf(preferred),
                        learned
                                ? ReadTimeEstimate.byLearnedTimes()
                                : ReadTimeEstimate.byResponseTimes());
        WorkTimes times = new WorkTimes();
        for (int index = 0; index < servers.size(); index++) {
            ServerRoom room =
                    learned
                            ? new LearnedServerRoom(slots, Math.max(1, slots / instances), times, 0)
                            : new UnlimitedServerRoom();
            mLinks.add(new Link(servers.get(index), index, slots, room));
        }
    }

    /** Reads once; the callback receives the chosen server and the response time. */
    void read(
            WorkKind kind,
            double millis,
            double objectiveMillis,
            ObjLongConsumer<String> callback) {
        long started = mTime.now();
        long objective = started + (long) (objectiveMillis * 1e6);
        ReadDemand demand = new ReadDemand(kind, Optional.empty(), Set.of(), objective, true);
        String id =
                mPlacement
                        .choose(candidates(), demand, mRandom.nextDouble(), started)
                        .orElseThrow()
                        .server()
                        .id();
        mLinks.get(Integer.parseInt(id))
                .offer(kind, millis, () -> callback.accept(id, mTime.now() - started));
    }

    private List<ReadCandidate> candidates() {
        return mLinks.stream()
                .map(
                        link ->
                                new ReadCandidate(
                                        link.mEntry,
                                        link.mHealth,
                                        link.mRoom,
                                        false,
                                        link.mEntry.id().equals(String.valueOf(mPreferred)),
                                        link.mWaiting.size(),
                                        ConnectionAvailability.IDLE))
                .toList();
    }
}
