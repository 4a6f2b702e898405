package org.plantainferry.gateway.feed;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.PeerProtocol;
import org.plantainferry.gateway.peer.generated.FeedAcceptance;
import org.plantainferry.gateway.peer.generated.FeedMessage;
import org.plantainferry.gateway.peer.generated.FeedSubscription;
import org.plantainferry.gateway.peer.generated.FeedUpdate;

/**
 * Passes the feeds of this instance on to the instances that have subscribed to them.
 *
 * <p>A subscriber first receives what it lacks, then an acceptance, then each change. One that does
 * not keep up is disconnected; it subscribes again and receives what it has missed. Used by the
 * control thread only.
 */
final class FeedPublisher implements PeerProtocol {
    private final List<SharedFeed<?>> mFeeds;
    private final Set<Channel> mSubscribers = new HashSet<>();

    /** Creates a publisher of feeds; {@code feeds} may be filled later. */
    FeedPublisher(List<SharedFeed<?>> feeds) {
        mFeeds = feeds;
    }

    /** Sends an update to all subscribers. */
    void publish(FeedUpdate update) {
        if (mSubscribers.isEmpty()) {
            return;
        }
        FeedMessage message = FeedMessage.newBuilder().setUpdate(update).build();
        for (Channel subscriber : Set.copyOf(mSubscribers)) {
            if (subscriber.isWritable()) {
                subscriber.writeAndFlush(message, subscriber.voidPromise());
            } else {
                subscriber.close();
            }
        }
    }

    @Override
    public void accept(Channel channel, String argument) {
        FeedChannels.buildForSubscriptions(channel.pipeline(), new SubscriptionHandler());
    }

    private void onSubscription(Channel channel, FeedSubscription subscription) {
        for (SharedFeed<?> feed : mFeeds) {
            feed.updateAfter(revisionOf(subscription, feed))
                    .map(update -> FeedMessage.newBuilder().setUpdate(update).build())
                    .ifPresent(channel::write);
        }
        FeedAcceptance acceptance = FeedAcceptance.getDefaultInstance();
        channel.writeAndFlush(FeedMessage.newBuilder().setAcceptance(acceptance).build());
        mSubscribers.add(channel);
    }

    private static StoreRevision revisionOf(FeedSubscription subscription, SharedFeed<?> feed) {
        return subscription.getRevisionsList().stream()
                .filter(revision -> revision.getFeed() == feed.name())
                .map(StoreFollowing::decode)
                .findFirst()
                .orElse(StoreRevision.NONE);
    }

    /** Receives the subscription at the start of a connection. */
    private final class SubscriptionHandler extends SimpleChannelInboundHandler<FeedMessage> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FeedMessage message) {
            if (message.hasSubscription()) {
                onSubscription(context.channel(), message.getSubscription());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mSubscribers.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset or an unreadable message; the subscriber connects again.
            GatewayEvent.FEED_LINK_FAILED.log("subscriber", cause.getMessage());
            context.close();
        }
    }
}
