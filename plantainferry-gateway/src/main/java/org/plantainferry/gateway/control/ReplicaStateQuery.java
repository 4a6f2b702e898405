package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.promotion.ReplicaState;
import org.plantainferry.gateway.statement.Statement;
import org.plantainferry.gateway.traffic.ProbeResult;
import org.plantainferry.gateway.traffic.ServerProbe;

/** Asks all replicas of a group for their state at the same time. */
final class ReplicaStateQuery {
    private final List<ReplicaState> mStates = new ArrayList<>();
    private final Consumer<List<ReplicaState>> mCallback;
    private int mOutstanding;

    private ReplicaStateQuery(int servers, Consumer<List<ReplicaState>> done) {
        mOutstanding = servers;
        mCallback = done;
    }

    /** Asks the servers; the callback receives the states of those that answered in time. */
    static void run(
            EventLoop loop,
            ServerProbe probe,
            List<CatalogServer> servers,
            long timeoutMillis,
            Consumer<List<ReplicaState>> done) {
        ReplicaStateQuery survey = new ReplicaStateQuery(servers.size(), done);
        for (CatalogServer server : servers) {
            probe.send(server, new Statement.Status(), timeoutMillis)
                    .thenAccept(answer -> loop.execute(() -> survey.onAnswer(server, answer)));
        }
    }

    private void onAnswer(CatalogServer server, ProbeResult answer) {
        mOutstanding--;
        answer.status()
                .ifPresent(
                        status ->
                                mStates.add(
                                        new ReplicaState(
                                                server,
                                                status.primary(),
                                                status.term(),
                                                status.received())));
        if (mOutstanding == 0) {
            mCallback.accept(mStates);
        }
    }
}
