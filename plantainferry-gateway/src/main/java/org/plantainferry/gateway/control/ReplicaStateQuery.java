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

/** Queries servers of a group for their state concurrently. */
final class ReplicaStateQuery {
    /** The time for which a server may take to report its status. */
    static final long STATUS_TIMEOUT_MILLIS = 350;

    private final List<ReplicaState> mStates = new ArrayList<>();
    private final Consumer<List<ReplicaState>> mCallback;
    private int mOutstanding;

    private ReplicaStateQuery(int serverCount, Consumer<List<ReplicaState>> callback) {
        mOutstanding = serverCount;
        mCallback = callback;
    }

    /**
     * Queries the servers.
     *
     * @param callback receives the states of the servers that answered in time; runs once
     */
    static void run(
            EventLoop loop,
            ServerProbe probe,
            List<CatalogServer> servers,
            long timeoutMillis,
            Consumer<List<ReplicaState>> callback) {
        ReplicaStateQuery query = new ReplicaStateQuery(servers.size(), callback);
        for (CatalogServer server : servers) {
            probe.send(server, new Statement.Status(), timeoutMillis)
                    .thenAccept(answer -> loop.execute(() -> query.onAnswer(server, answer)));
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
