package org.plantainferry.network.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import org.plantainferry.network.peer.generated.PeerMessage;

/** Builds the channel pipeline that both sides of a peer link use. */
final class PeerPipeline {
    /** The maximum size of a message; large enough for a configuration of 1 MB. */
    static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    private PeerPipeline() {}

    static void build(ChannelPipeline pipeline, int idleSeconds, ChannelHandler messageHandler) {
        pipeline.addLast(new IdleStateHandler(0, 0, idleSeconds))
                .addLast(new BoundedFrameDecoder(MAX_FRAME_BYTES))
                .addLast(new ProtobufDecoder(PeerMessage.getDefaultInstance()))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(messageHandler);
    }
}
