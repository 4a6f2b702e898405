package org.plantainferry.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.string.StringEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Decodes bytes into lines of UTF-8 text, and encodes text into bytes.
 *
 * <p>A line ends with CR LF and nothing else: a lone CR or LF is part of its text, which is passed
 * on unchanged.
 */
public final class LineCodec {
    /** The end of a line. */
    public static final String LINE_END = "\r\n";

    private static final int MAX_LINE_BYTES = 1024 * 1024;
    private static final StringEncoder ENCODER = new StringEncoder(StandardCharsets.UTF_8);

    private LineCodec() {}

    /**
     * Adds a line decoder and a text encoder. Written text must contain its own line terminators.
     *
     * <p>The decoder throws a {@link TooLongFrameException} for a line of more than 1 MiB and a
     * {@link CorruptedFrameException} for one that is not UTF-8.
     */
    public static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new Decoder(MAX_LINE_BYTES)).addLast(ENCODER);
    }

    /** Splits bytes into lines. */
    static final class Decoder extends ByteToMessageDecoder {
        private static final byte CARRIAGE_RETURN = '\r';
        private static final byte LINE_FEED = '\n';
        private static final int LINE_END_BYTES = 2;
        // What the decoder of the JDK puts in the place of bytes that are not UTF-8.
        private static final char REPLACEMENT = '\uFFFD';

        private final int mMaxLineBytes;
        // Bytes of the current line that contain no line end, so that none is searched twice.
        private int mSearchedBytes;

        Decoder(int maxLineBytes) {
            mMaxLineBytes = maxLineBytes;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            int lineBytes = findLineEnd(in);
            // Without its end, the last byte may be the CR.
            int knownBytes = lineBytes < 0 ? in.readableBytes() - 1 : lineBytes;
            if (knownBytes > mMaxLineBytes) {
                in.skipBytes(in.readableBytes());
                mSearchedBytes = 0;
                throw new TooLongFrameException(
                        "the line is longer than " + mMaxLineBytes + " bytes");
            }
            if (lineBytes < 0) {
                return;
            }
            byte[] bytes = ByteBufUtil.getBytes(in, in.readerIndex(), lineBytes);
            in.skipBytes(lineBytes + LINE_END_BYTES);
            mSearchedBytes = 0;
            out.add(decodeText(bytes));
        }

        /** Returns the length of the first line; -1 if its end has not arrived. */
        private int findLineEnd(ByteBuf in) {
            int start = in.readerIndex();
            int from = start + mSearchedBytes;
            while (true) {
                int lineFeed = in.indexOf(from, in.writerIndex(), LINE_FEED);
                if (lineFeed < 0) {
                    mSearchedBytes = in.readableBytes();
                    return -1;
                }
                if (lineFeed > start && in.getByte(lineFeed - 1) == CARRIAGE_RETURN) {
                    return lineFeed - 1 - start;
                }
                from = lineFeed + 1;
            }
        }

        private static String decodeText(byte[] bytes) {
            String text = new String(bytes, StandardCharsets.UTF_8);
            boolean isChanged =
                    text.indexOf(REPLACEMENT) >= 0
                            && !Arrays.equals(text.getBytes(StandardCharsets.UTF_8), bytes);
            if (isChanged) {
                throw new CorruptedFrameException("the line is not UTF-8");
            }
            return text;
        }
    }
}
