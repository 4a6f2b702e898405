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

    private FeedChannels() {}

    static void build(ChannelPipeline pipeline, ChannelHandler messageHandler) {
        pipeline.addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(new BoundedFrameDecoder(MAX_MESSAGE_BYTES))
                .addLast(new ProtobufDecoder(FeedMessage.getDefaultInstance()))
                .addLast(messageHandler);
    }
}
