package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.relay.RelayServer;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.spi.PlatformConnection;
import org.plantainferry.gateway.traffic.FleetView;
import org.plantainferry.gateway.traffic.PeerPositionSource;
import org.plantainferry.gateway.traffic.PrimaryLeaseGuard;
import org.plantainferry.gateway.traffic.ServerProbe;
import org.plantainferry.gateway.traffic.SuspectedPrimaryListener;
import org.plantainferry.gateway.traffic.TokenBorrower;
import org.plantainferry.gateway.traffic.TrafficServer;

/**
 * Joins the parts of control that work together with other instances.
 *
 * <p>Used by the control thread only, except {@link #start}, {@link #suspicion}, {@link #positions}
 * and {@link #lender}.
 *
 * @since 0.2
 */
public final class FleetController {
    private final EventLoop mLoop;
    private final Supplier<FleetView> mView;
    private final PeerChannel mPeers;
    private final DemandExchange mDemand;
    private final ReachabilityPoll mPoll;
    private final TokenExchange mTokens;
    private final ConfirmationExchange mConfirmations;
    private final LeadExchange mLeads;
    private final PositionExchange mPositions;
    private final boolean mGuardsPrimaries;
    private final PrimaryKeeper mKeeper;

    /**
     * Opens the port for messages of other instances.
     *
     * @param loop the control thread
     * @param clock time that includes suspensions of the machine, in nanoseconds
     * @param guard receives which primaries may be used
     */
    public FleetController(
            EventLoop loop,
            GatewaySettings settings,
            PlatformConnection platform,
            TrafficServer traffic,
            ControlPlane control,
            LongSupplier clock,
            PrimaryLeaseGuard guard) {
        mLoop = loop;
        Supplier<FleetView> view = control::view;
        mView = view;
        PeerChannel peers = new PeerChannel(loop, settings.localAddress(), settings.peerPort());
        mPeers = peers;
        new RelayServer(loop, settings.localAddress(), id -> view.get().catalog().server(id))
                .start(settings.peerPort());
        ServerProbe probe = new ServerProbe(loop, platform.wireFormat(), settings.localAddress());
        mDemand = new DemandExchange(loop, settings.instance(), traffic, peers);
        mPoll = new ReachabilityPoll(loop, settings.instance(), peers, probe, new Random());
        mConfirmations =
                new ConfirmationExchange(loop, settings, control, peers, clock, new Random());
        mTokens = new TokenExchange(loop, settings.instance(), traffic, peers, clock, new Random());
        mPositions = new PositionExchange(loop, settings, traffic, peers, clock, new Random());
        mLeads =
                new LeadExchange(
                        loop, settings, peers, platform.claims(), clock, guard, new Random());
        mLeads.board().onLeading(control::onLeading);
        mGuardsPrimaries = !settings.platformFencesPrimaries();
        ReplacementTools tools =
                new ReplacementTools(
                        settings.instance(),
                        platform.claims(),
                        platform.promotions(),
                        probe,
                        mLeads.fences(),
                        mLeads.board(),
                        platform.instances(),
                        mGuardsPrimaries,
                        clock,
                        view);
        mKeeper =
                new PrimaryKeeper(
                        loop,
                        settings.instance(),
                        clock,
                        probe,
                        mPoll,
                        traffic,
                        control::settlePrimary,
                        new PrimaryVerifier(loop, clock, probe, mLeads.board()),
                        (service, cause, last, ended) ->
                                new PrimaryReplacement(loop, tools, service, cause, last, ended));
    }

    /** Begins the periodic work. */
    public void start() {
        mPeers.listen(this::onMessage);
        mLoop.execute(mConfirmations::start);
        if (mGuardsPrimaries) {
            mLoop.execute(mLeads::start);
        }
    }

    /** Returns where traffic reports primaries that do not answer. */
    public SuspectedPrimaryListener suspicion() {
        return mKeeper;
    }

    /** Tells the other instances of the demand here; may be called from any thread. */
    public void onDemand(Map<String, Double> demandPerSecond) {
        mDemand.onDemand(demandPerSecond);
    }

    /** Returns where traffic gets log positions from. */
    public PeerPositionSource positions() {
        return mPositions;
    }

    /** Returns where traffic borrows tokens. */
    public TokenBorrower lender() {
        return mTokens;
    }

    /**
     * Follows a new view.
     *
     * @param others the instances besides this one, when they were read or have changed; before, an
     *     instance that took itself for the only one would use primaries as if it were
     */
    public void onView(FleetView view, Optional<Map<String, InstanceEntry>> others) {
        others.ifPresent(this::onOthers);
        mKeeper.onView(view);
    }

    private void onOthers(Map<String, InstanceEntry> others) {
        mDemand.onOthers(others);
        mPoll.onOthers(others);
        mTokens.onOthers(others);
        mConfirmations.onOthers(others);
        mLeads.onOthers(others);
        mPositions.onOthers(others);
    }

    private void onMessage(InstanceMessage message, InetSocketAddress sender) {
        switch (message.getContentCase()) {
            case DEMAND_REPORT ->
                    mDemand.onReport(message.getInstance(), message.getDemandReport());
            case TOKEN_QUESTION -> mTokens.onQuestion(message.getTokenQuestion(), sender);
            case TOKEN_ANSWER -> mTokens.onAnswer(message.getInstance(), message.getTokenAnswer());
            case CONFIRMATION_QUESTION ->
                    mConfirmations.onQuestion(message.getConfirmationQuestion(), sender);
            case CONFIRMATION_ANSWER -> mConfirmations.onAnswer(message.getConfirmationAnswer());
            case POSITION_QUESTION -> mPositions.onQuestion(message.getPositionQuestion(), sender);
            case POSITION_ANSWER -> mPositions.onAnswer(message.getPositionAnswer());
            case LEAD_QUESTION ->
                    mLeads.onQuestion(message.getInstance(), message.getLeadQuestion(), sender);
            case LEAD_ANSWER -> mLeads.onAnswer(message.getLeadAnswer());
            case LEAD_FENCE -> mLeads.onNotice(message.getLeadFence(), sender);
            case LEAD_FENCE_CONFIRMATION ->
                    mLeads.fences()
                            .onConfirmation(
                                    message.getInstance(), message.getLeadFenceConfirmation());
            case REACHABILITY_ANSWER ->
                    mPoll.onAnswer(message.getInstance(), message.getReachabilityAnswer());
            case REACHABILITY_QUESTION ->
                    mView.get()
                            .catalog()
                            .server(message.getReachabilityQuestion().getServer())
                            .ifPresent(
                                    server ->
                                            mPoll.onQuestion(
                                                    message.getReachabilityQuestion(),
                                                    server,
                                                    sender));
            default -> {
                // A content of a later version; the sender does without an answer.
            }
        }
    }
}
