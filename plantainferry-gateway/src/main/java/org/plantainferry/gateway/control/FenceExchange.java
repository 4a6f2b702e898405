package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.promotion.FenceRound;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.LeadFence;
import org.plantainferry.gateway.peer.generated.LeadFenceConfirmation;
import org.plantainferry.gateway.spi.InstanceEntry;

/**
 * Announces replacements of primaries to the other instances, and takes over their announcements.
 *
 * <p>Used by the control thread only.
 */
final class FenceExchange {
    private static final long ANNOUNCE_INTERVAL_MILLIS = 60;

    private final EventLoop mLoop;
    private final String mInstance;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private final FenceRegistry mRegistry;
    private final Map<String, Announcement> mAnnouncements = new HashMap<>();
    private Map<String, InstanceEntry> mOtherInstances = Map.of();

    /** Holds the announcement of a replacement by this instance. */
    private record Announcement(
            String service,
            long token,
            Map<String, InstanceEntry> receivers,
            FenceRound confirmations,
            Consumer<Boolean> done) {}

    FenceExchange(
            EventLoop loop,
            String instance,
            PeerChannel peers,
            LongSupplier clock,
            FenceRegistry board) {
        mLoop = loop;
        mInstance = instance;
        mPeers = peers;
        mClock = clock;
        mRegistry = board;
    }

    void onOtherInstances(Map<String, InstanceEntry> others) {
        mOtherInstances = others;
    }

    static LeadFence message(String service, GroupFence fence) {
        return LeadFence.newBuilder()
                .setService(service)
                .setToken(fence.token())
                .setBlocked(fence.blocked())
                .setOrderToken(fence.newestOrder().token())
                .setOrderedServer(fence.newestOrder().server())
                .setOrderedTerm(fence.newestOrder().term())
                .build();
    }

    /** Takes over what a message says. */
    void merge(LeadFence message) {
        PromotionOrder succession =
                new PromotionOrder(
                        message.getOrderToken(),
                        message.getOrderedServer(),
                        message.getOrderedTerm());
        mRegistry.merge(
                message.getService(),
                new GroupFence(message.getToken(), message.getBlocked(), succession));
    }

    void onAnnouncement(LeadFence notice, InetSocketAddress sender) {
        merge(notice);
        mPeers.send(
                message()
                        .setLeadFenceConfirmation(
                                LeadFenceConfirmation.newBuilder()
                                        .setService(notice.getService())
                                        .setToken(notice.getToken()))
                        .build(),
                sender);
    }

    void onConfirmation(String instance, LeadFenceConfirmation confirmation) {
        Announcement round = mAnnouncements.get(confirmation.getService());
        if (round != null && round.token == confirmation.getToken()) {
            round.confirmations.onConfirmed(instance, mClock.getAsLong());
            decide(round);
        }
    }

    /**
     * Makes all instances stop to use primaries of a group.
     *
     * @param members the other instances, read from the store after the claim was written: one that
     *     registers later finds the claim there before it uses a primary
     * @param done runs once; true when none of them uses one any more
     */
    void block(
            String service,
            long token,
            Map<String, InstanceEntry> members,
            Consumer<Boolean> done) {
        mRegistry.merge(service, mRegistry.fence(service).withAnnounced(token));
        FenceRound decisions = new FenceRound(members.keySet(), mClock.getAsLong());
        Announcement round = new Announcement(service, token, members, decisions, done);
        mAnnouncements.put(service, round);
        announceUntilDecided(round);
    }

    private void announceUntilDecided(Announcement round) {
        if (mAnnouncements.get(round.service) != round) {
            return;
        }
        announce(round.service, round.receivers, round.confirmations.unconfirmed());
        if (!decide(round)) {
            mLoop.schedule(
                    () -> announceUntilDecided(round),
                    ANNOUNCE_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void announce(String service, Map<String, InstanceEntry> receivers, Set<String> names) {
        InstanceMessage message =
                message().setLeadFence(message(service, mRegistry.fence(service))).build();
        for (String name : names) {
            InstanceEntry entry = receivers.get(name);
            if (entry != null) {
                mPeers.send(message, entry.peerAddress());
            }
        }
    }

    private InstanceMessage.Builder message() {
        return InstanceMessage.newBuilder().setInstance(mInstance);
    }

    /** Ends a round when its outcome is known; returns whether it has ended. */
    private boolean decide(Announcement round) {
        FenceRound.Decision decision = round.confirmations.decide(mClock.getAsLong());
        if (decision == FenceRound.Decision.WAIT) {
            return false;
        }
        mAnnouncements.remove(round.service);
        GatewayEvent.FENCE_ROUND_ENDED.log(
                round.service, round.token, decision, round.confirmations.unconfirmed().size());
        round.done.accept(decision == FenceRound.Decision.ORDER);
        return true;
    }

    /**
     * Lets all instances use a primary of a group again.
     *
     * @param token that with which the group was blocked
     * @param newest the newest order, which says what primary may be used
     */
    void release(String service, long token, PromotionOrder newest) {
        mAnnouncements.remove(service);
        mRegistry.merge(service, mRegistry.fence(service).withReleased(token, newest));
        announce(service, mOtherInstances, mOtherInstances.keySet());
    }
}
