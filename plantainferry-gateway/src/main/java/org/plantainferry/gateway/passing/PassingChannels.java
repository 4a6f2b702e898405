package org.plantainferry.gateway.passing;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import org.plantainferry.gateway.peer.generated.PassingGreeting;
import org.plantainferry.gateway.peer.generated.PassingMessage;
import org.plantainferry.network.peer.BoundedFrameDecoder;

/** Holds what both ends of a link have in common. */
final class PassingChannels {
    /** The maximum size of a message; exceeds that of a statement and of a row. */
    static final int MAX_MESSAGE_BYTES = 2 * 1024 * 1024;

    /** The maximum size of the content of a message. */
    static final int MAX_CONTENT_BYTES = MAX_MESSAGE_BYTES - 1_024;

    /** The maximum number of operations whose answers are awaited on one link. */
    static final int MAX_AWAITED_OPERATIONS = 512;

    private static final int PROTOCOL_VERSION = 1;
    private static final int LOW_WATER_MARK_BYTES = 128 * 1024;
    private static final int HIGH_WATER_MARK_BYTES = 512 * 1024;

    private PassingChannels() {}

    /** Returns how many unsent bytes make a link not writable. */
    static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES);
    }

    static void build(ChannelPipeline pipeline, ChannelHandler messageHandler) {
        pipeline.addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(new BoundedFrameDecoder(MAX_MESSAGE_BYTES))
                .addLast(new ProtobufDecoder(PassingMessage.getDefaultInstance()))
                .addLast(messageHandler);
    }

    static PassingMessage.Builder greeting(String instance) {
        return PassingMessage.newBuilder()
                .setGreeting(
                        PassingGreeting.newBuilder()
                                .setVersion(PROTOCOL_VERSION)
                                .setInstance(instance));
    }

    /** Returns whether a message is a greeting of a version that this one understands. */
    static boolean isUnderstood(PassingMessage message) {
        return message.hasGreeting() && message.getGreeting().getVersion() == PROTOCOL_VERSION;
    }
}
