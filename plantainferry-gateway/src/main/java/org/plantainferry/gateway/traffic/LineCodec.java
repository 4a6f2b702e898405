package org.plantainferry.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Turns bytes into lines of text, and text into bytes. */
final class LineCodec {
    /** Ends each line that is written. */
    static final String LINE_END = "\r\n";

    private static final int MAX_LINE_BYTES = 1024 * 1024;
    private static final StringEncoder ENCODER = new StringEncoder(StandardCharsets.UTF_8);
    private static final Decoder DECODER = new Decoder();

    private LineCodec() {}

    /** Adds the decoder of lines and the encoder of text that carries its own line ends. */
    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES))
                .addLast(DECODER)
                .addLast(ENCODER);
    }

    @Sharable
    private static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf line, List<Object> out) {
            out.add(new String(ByteBufUtil.getBytes(line), StandardCharsets.UTF_8));
        }
    }
}
