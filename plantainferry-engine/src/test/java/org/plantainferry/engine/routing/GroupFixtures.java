package org.plantainferry.engine.routing;

import java.util.List;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;

/** Provides a group of three servers for the tests of this package. */
final class GroupFixtures {
    static final long MILLI = 1_000_000L;
    static final ServerId A = new ServerId("a");
    static final ServerId B = new ServerId("b");
    static final ServerId C = new ServerId("c");
    static final List<ServerId> ALL = List.of(A, B, C);
    static final FailureDomain LOCAL_DOMAIN = new FailureDomain("near");
    private static final FailureDomain REMOTE_DOMAIN = new FailureDomain("far");

    static final Service SERVICE =
            new Service(
                    new ServiceName("ledger"),
                    3,
                    50,
                    List.of(
                            new TargetServer(A, "127.0.0.1:1", LOCAL_DOMAIN),
                            new TargetServer(B, "127.0.0.1:2", LOCAL_DOMAIN),
                            new TargetServer(C, "127.0.0.1:3", REMOTE_DOMAIN)));

    private GroupFixtures() {}

    static ServerObservation primary(ServerId server, long term, long position) {
        return new ServerObservation(server, ServerRole.PRIMARY, term, position, 0, false);
    }

    static ServerObservation replica(ServerId server, long term, long position, long lagMillis) {
        return new ServerObservation(server, ServerRole.REPLICA, term, position, lagMillis, false);
    }

    /** Returns a view in which A is the primary and all servers have position 100 at time 0. */
    static GroupRoutingState caughtUpGroup() {
        GroupRoutingState view = new GroupRoutingState(SERVICE);
        view.observe(primary(A, 1, 100), 0);
        view.observe(replica(B, 1, 100, 0), 0);
        view.observe(replica(C, 1, 100, 0), 0);
        return view;
    }
}
