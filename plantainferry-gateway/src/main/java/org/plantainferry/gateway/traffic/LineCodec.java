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

/** Decodes bytes into lines of UTF-8 text, and encodes text into bytes. */
public final class LineCodec {
    /** The terminator of each line that is written. */
    /** The end of a line. */
    public static final String LINE_END = "\r\n";

    private static final int MAX_LINE_BYTES = 1024 * 1024;
    private static final StringEncoder ENCODER = new StringEncoder(StandardCharsets.UTF_8);
    private static final Decoder DECODER = new Decoder();

    private LineCodec() {}

    /**
     * Adds a line decoder and a text encoder. Written text must contain its own line terminators.
     */
    public static void addTo(ChannelPipeline pipeline) {
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
