package org.plantainferry.daemon.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;
import org.plantainferry.daemon.settings.DaemonSettings;
import org.plantainferry.daemon.traffic.ServiceDispatcherRegistry;
import org.plantainferry.daemon.traffic.TrafficListener;
import org.plantainferry.daemon.traffic.TrafficSnapshot;
import org.plantainferry.engine.drain.DrainState;
import org.plantainferry.engine.membership.Member;
import org.plantainferry.engine.membership.MembershipTable;
import org.plantainferry.network.peer.PeerTransport;
import org.plantainferry.network.peer.generated.ForwardRequest;
import org.plantainferry.network.peer.generated.PeerMessage;

/**
 * Builds control, which needs the lanes, while the lanes need control's events.
 *
 * @since 0.1
 */
public final class ControlPlaneFactory {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ControlContext mContext;
    private final PeerTransport mPeers;
    private final ProbeConnectionPool mProbes;
    private final AtomicReference<TrafficSnapshot> mSnapshot;
    private volatile ControlPlane mControl;

    /** Creates a factory. */
    public ControlPlaneFactory(
            ControlContext context,
            PeerTransport peers,
            ProbeConnectionPool probes,
            AtomicReference<TrafficSnapshot> snapshot) {
        mContext = context;
        mPeers = peers;
        mProbes = probes;
        mSnapshot = snapshot;
    }

    /** Returns events that reach control once it exists. */
    public TrafficListener trafficListener() {
        return new TrafficListener() {
            @Override
            public void onStatementFailed(ServiceName service, ServerId server) {
                mControl.onStatementFailed(service, server);
            }

            @Override
            public void onTermObserved(ServiceName service, long term, Optional<ServerId> primary) {
                mControl.onTermObserved(service, term, primary);
            }
        };
    }

    /** Creates control with its lanes. */
    public ControlPlane create(ServiceDispatcherRegistry lanes) {
        DaemonSettings settings = mContext.settings();
        Member self =
                new Member(
                        settings.instance(),
                        settings.failureDomain(),
                        settings.peerListener().toString(),
                        settings.callerListener().toString(),
                        settings.operatorListener().toString(),
                        false);
        MembershipTable membership =
                new MembershipTable(
                        self, mContext.incarnation(), mContext.random(), mContext.now());
        DrainState drain = new DrainState(Math.max(1, settings.drainMillis()) * NANOS_PER_MILLI);
        FleetState fleet = new FleetState(self, membership, drain);
        mControl = new ControlPlane(mContext, fleet, mPeers, mProbes, lanes, mSnapshot);
        return mControl;
    }

    /** Connects the messages of other instances with control and traffic. */
    public void connect(
            PeerDispatcher dispatcher,
            Function<ForwardRequest, CompletableFuture<PeerMessage>> forward) {
        dispatcher.setReceivers(mControl, forward);
    }
}
