package org.plantainferry.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.plantainferry.api.InstanceId;
import org.plantainferry.engine.configuration.ConfigurationFetch;
import org.plantainferry.engine.membership.GroupTerm;
import org.plantainferry.engine.membership.HeartbeatContent;
import org.plantainferry.engine.membership.HeartbeatTarget;
import org.plantainferry.engine.membership.MembershipTable;
import org.plantainferry.network.peer.PeerTransport;
import org.plantainferry.network.peer.generated.ConfigurationAnswer;
import org.plantainferry.network.peer.generated.ConfigurationRequest;
import org.plantainferry.network.peer.generated.PeerMessage;

/** Exchanges heartbeats and fetches newer configurations from peers. */
final class HeartbeatController {
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final long FETCH_TIMEOUT_MILLIS = 1_000;
    private static final long ANSWER_TIMEOUT_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(MembershipTable.ANSWER_TIMEOUT_NANOS);

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final PeerTransport mPeers;
    private final Supplier<List<GroupTerm>> mRecentTerms;
    private final Listener mListener;

    /** Receives what heartbeats bring; called on the control thread. */
    interface Listener {
        /** Takes in a heartbeat or the answer to one. */
        void onHeartbeat(HeartbeatContent heartbeat);

        /** Takes in the JSON text of a configuration that a peer has. */
        void onConfiguration(String json);
    }

    HeartbeatController(
            ControlContext context,
            FleetState fleet,
            PeerTransport peers,
            Supplier<List<GroupTerm>> terms,
            Listener listener) {
        mContext = context;
        mFleet = fleet;
        mPeers = peers;
        mRecentTerms = terms;
        mListener = listener;
    }

    void start() {
        mContext.loop().runEvery("heartbeat", TICK_INTERVAL_MILLIS, this::tick);
    }

    private void tick() {
        long now = mContext.now();
        List<HeartbeatTarget> targets = mFleet.membership().tick(now);
        boolean wantsAnswers = mFleet.freshness().needsHeartbeatAnswers(now);
        targets.forEach(target -> sendHeartbeat(target, wantsAnswers));
        fetchNewerConfiguration(now);
    }

    private void sendHeartbeat(HeartbeatTarget target, boolean wantsAnswers) {
        long now = mContext.now();
        boolean answerWanted = target.answerWanted() || wantsAnswers;
        PeerMessage message = heartbeatMessage(answerWanted, now);
        if (!answerWanted) {
            mPeers.send(target.address(), message);
            return;
        }
        mPeers.call(target.address(), message, ANSWER_TIMEOUT_MILLIS)
                .whenComplete(
                        (answer, failure) ->
                                mContext.loop()
                                        .run(
                                                "heartbeat answer",
                                                () ->
                                                        onHeartbeatAnswer(
                                                                target.peer(),
                                                                answer,
                                                                failure,
                                                                now)));
    }

    private PeerMessage heartbeatMessage(boolean answerWanted, long now) {
        HeartbeatContent view =
                mFleet.membership()
                        .heartbeat(
                                mFleet.freshness().status(mRecentTerms.get(), now),
                                answerWanted,
                                now);
        return PeerMessage.newBuilder().setHeartbeat(PeerMessageCodec.encode(view)).build();
    }

    private void onHeartbeatAnswer(
            InstanceId peer, PeerMessage answer, Throwable failure, long sentNanos) {
        if (failure != null || !answer.hasHeartbeat()) {
            mFleet.membership().onHeartbeatFailure(peer, mContext.now());
            return;
        }
        HeartbeatContent view = PeerMessageCodec.decode(answer.getHeartbeat());
        long now = mContext.now();
        mFleet.membership().onHeartbeat(view, now);
        mFleet.freshness().onHeartbeatAnswer(view, sentNanos, now);
        mFleet.configurationState()
                .onPeerVersion(view.instance(), view.status().configurationVersion());
        mListener.onHeartbeat(view);
    }

    /** Takes in a heartbeat and returns the answer to it. */
    PeerMessage onHeartbeat(HeartbeatContent view) {
        long now = mContext.now();
        mFleet.membership().onHeartbeat(view, now);
        mFleet.freshness().onHeartbeat(view, now);
        mFleet.configurationState()
                .onPeerVersion(view.instance(), view.status().configurationVersion());
        mListener.onHeartbeat(view);
        return heartbeatMessage(false, now);
    }

    private void fetchNewerConfiguration(long now) {
        mFleet.configurationState().nextFetch(now).ifPresent(this::fetchConfiguration);
    }

    private void fetchConfiguration(ConfigurationFetch fetch) {
        List<String> address = new ArrayList<>();
        mFleet.membership().peerAddress(fetch.peer()).ifPresent(address::add);
        if (address.isEmpty()) {
            mFleet.configurationState().onFetchFailed(fetch.peer());
            return;
        }
        PeerMessage request =
                PeerMessage.newBuilder()
                        .setConfigurationRequest(
                                ConfigurationRequest.newBuilder().setNewerThan(fetch.newerThan()))
                        .build();
        Consumer<PeerMessage> onAnswer = answer -> onConfigurationAnswer(fetch, answer);
        mPeers.call(address.get(0), request, FETCH_TIMEOUT_MILLIS)
                .whenComplete(
                        (answer, failure) ->
                                mContext.loop().run("fetch", () -> onAnswer.accept(answer)));
    }

    private void onConfigurationAnswer(ConfigurationFetch fetch, PeerMessage answer) {
        boolean isFound =
                answer != null
                        && answer.hasConfigurationAnswer()
                        && answer.getConfigurationAnswer().getFound();
        if (!isFound) {
            mFleet.configurationState().onFetchFailed(fetch.peer());
            return;
        }
        ConfigurationAnswer found = answer.getConfigurationAnswer();
        mListener.onConfiguration(found.getConfiguration());
        if (mFleet.configuration().version() <= fetch.newerThan()) {
            mFleet.configurationState().onFetchFailed(fetch.peer());
        }
    }
}
