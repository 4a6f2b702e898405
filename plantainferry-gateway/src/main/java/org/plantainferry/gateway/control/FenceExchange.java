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
 * Announces replacements of primaries to the other instances and applies their announcements.
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

    /** Represents a replacement that this instance announces until the others have confirmed. */
    private record Announcement(
            String service,
            long token,
            Map<String, InstanceEntry> receivers,
            FenceRound confirmations,
            Consumer<Boolean> callback) {}

    FenceExchange(
            EventLoop loop,
            String instance,
            PeerChannel peers,
            LongSupplier clock,
            FenceRegistry registry) {
        mLoop = loop;
        mInstance = instance;
        mPeers = peers;
        mClock = clock;
        mRegistry = registry;
    }

    void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        mOtherInstances = otherInstances;
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

    /** Merges the replacement state of a message into the registry. */
    void merge(LeadFence message) {
        PromotionOrder newestOrder =
                new PromotionOrder(
                        message.getOrderToken(),
                        message.getOrderedServer(),
                        message.getOrderedTerm());
        mRegistry.merge(
                message.getService(),
                new GroupFence(message.getToken(), message.getBlocked(), newestOrder));
    }

    void onAnnouncement(LeadFence announcement, InetSocketAddress sender) {
        merge(announcement);
        mPeers.send(
                message()
                        .setLeadFenceConfirmation(
                                LeadFenceConfirmation.newBuilder()
                                        .setService(announcement.getService())
                                        .setToken(announcement.getToken()))
                        .build(),
                sender);
    }

    void onConfirmation(String instance, LeadFenceConfirmation confirmation) {
        Announcement announcement = mAnnouncements.get(confirmation.getService());
        if (announcement != null && announcement.token == confirmation.getToken()) {
            announcement.confirmations.onConfirmed(instance, mClock.getAsLong());
            decide(announcement);
        }
    }

    /**
     * Makes all instances stop using primaries of a group.
     *
     * @param token the fencing token of the claim
     *     <p>Those that this instance knows are told as well, because the store may have lost their
     *     entries.
     * @param listed the other instances, read from the store after the claim was written: an
     *     instance that registers later finds the claim before it uses a primary
     * @param callback runs once, unless {@link #release} comes first; receives true if no instance
     *     uses a primary any more, false if the attempt was given up
     */
    void block(
            String service,
            long token,
            Map<String, InstanceEntry> listed,
            Consumer<Boolean> callback) {
        Map<String, InstanceEntry> receivers = new HashMap<>(mOtherInstances);
        receivers.putAll(listed);
        mRegistry.merge(service, mRegistry.fence(service).withAnnounced(token));
        FenceRound confirmations = new FenceRound(receivers.keySet(), mClock.getAsLong());
        Announcement announcement =
                new Announcement(service, token, receivers, confirmations, callback);
        mAnnouncements.put(service, announcement);
        announceUntilDecided(announcement);
    }

    private void announceUntilDecided(Announcement announcement) {
        if (mAnnouncements.get(announcement.service) != announcement) {
            return;
        }
        announce(
                announcement.service,
                announcement.receivers,
                announcement.confirmations.unconfirmed());
        if (!decide(announcement)) {
            mLoop.schedule(
                    () -> announceUntilDecided(announcement),
                    ANNOUNCE_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void announce(
            String service, Map<String, InstanceEntry> receivers, Set<String> receiverNames) {
        InstanceMessage message =
                message().setLeadFence(message(service, mRegistry.fence(service))).build();
        for (String name : receiverNames) {
            InstanceEntry entry = receivers.get(name);
            if (entry != null) {
                mPeers.send(message, entry.peerAddress());
            }
        }
    }

    private InstanceMessage.Builder message() {
        return InstanceMessage.newBuilder().setInstance(mInstance);
    }

    /** Ends an announcement if its outcome is known; returns whether it has ended. */
    private boolean decide(Announcement announcement) {
        FenceRound.Decision decision = announcement.confirmations.decide(mClock.getAsLong());
        if (decision == FenceRound.Decision.WAIT) {
            return false;
        }
        mAnnouncements.remove(announcement.service);
        GatewayEvent.FENCE_ROUND_ENDED.log(
                announcement.service,
                announcement.token,
                decision,
                announcement.confirmations.unconfirmed().size());
        announcement.callback.accept(decision == FenceRound.Decision.ORDER);
        return true;
    }

    /**
     * Allows all instances to use a primary of a group again.
     *
     * @param token the token with which the group was blocked
     * @param newestOrder the newest order, which determines the primary that may be used
     */
    void release(String service, long token, PromotionOrder newestOrder) {
        mAnnouncements.remove(service);
        mRegistry.merge(service, mRegistry.fence(service).withReleased(token, newestOrder));
        announce(service, mOtherInstances, mOtherInstances.keySet());
    }
}
