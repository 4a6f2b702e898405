package org.plantainferry.gateway.feed;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import org.plantainferry.gateway.peer.generated.FeedMessage;
import org.plantainferry.network.peer.BoundedFrameDecoder;

/** Builds the part of a channel pipeline that both ends of a feed connection use. */
final class FeedChannels {
    /** The maximum size of a message; large enough for the entries of 10,000 servers. */
    private static final int MAX_MESSAGE_BYTES = 2 * 1024 * 1024;

    private static final int MAX_SUBSCRIPTION_BYTES = 64 * 1024;

    private FeedChannels() {}

    /** Builds the end that receives the feeds. */
    static void build(ChannelPipeline pipeline, ChannelHandler messageHandler) {
        build(pipeline, messageHandler, MAX_MESSAGE_BYTES);
    }

    /** Builds the end that sends the feeds, and receives only subscriptions. */
    static void buildForSubscriptions(ChannelPipeline pipeline, ChannelHandler messageHandler) {
        build(pipeline, messageHandler, MAX_SUBSCRIPTION_BYTES);
    }

    private static void build(
            ChannelPipeline pipeline, ChannelHandler messageHandler, int maxMessageBytes) {
        pipeline.addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(new BoundedFrameDecoder(maxMessageBytes))
                .addLast(new ProtobufDecoder(FeedMessage.getDefaultInstance()))
                .addLast(messageHandler);
    }
}
