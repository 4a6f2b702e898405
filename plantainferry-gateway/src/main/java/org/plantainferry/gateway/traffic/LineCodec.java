package org.plantainferry.gateway.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.IntConsumer;

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

    private LineCodec() {}

    /**
     * Adds a line decoder and a text encoder. Written text must contain its own line terminators.
     *
     * <p>The decoder throws a {@link TooLongFrameException} for a line of more than 1 MiB and a
     * {@link CorruptedFrameException} for one that is not UTF-8.
     */
    public static void addTo(ChannelPipeline pipeline) {
        addTo(pipeline, bytes -> {});
    }

    /**
     * Adds a line decoder and a text encoder.
     *
     * @param partialListener receives the number of bytes that the decoder holds, when it changes
     */
    static void addTo(ChannelPipeline pipeline, IntConsumer partialListener) {
        pipeline.addLast(new Decoder(MAX_LINE_BYTES, partialListener)).addLast(new Encoder());
    }

    /** Emits the lines that were received before reading was suspended. */
    static void emitHeldLines(ChannelPipeline pipeline) {
        ChannelHandlerContext context = pipeline.context(Decoder.class);
        if (context != null) {
            ((Decoder) context.handler()).emitLines(context);
        }
    }

    /** Encodes text, in a buffer that is no larger than it has to be. */
    private static final class Encoder extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (!(message instanceof String text)) {
                context.write(message, promise);
                return;
            }
            int bytes = ByteBufUtil.utf8Bytes(text);
            ByteBuf buffer = context.alloc().buffer(bytes);
            ByteBufUtil.reserveAndWriteUtf8(buffer, text, bytes);
            context.write(buffer, promise);
        }
    }

    /**
     * Splits bytes into lines.
     *
     * <p>What is received is copied out of the buffers of the channel at once, so that a line
     * without its end holds no more than its bytes. While the channel does not read, no line is
     * emitted.
     */
    static final class Decoder extends ChannelInboundHandlerAdapter {
        private static final byte CARRIAGE_RETURN = '\r';
        private static final byte LINE_FEED = '\n';
        private static final int LINE_END_BYTES = 2;
        // What the decoder of the JDK puts in the place of bytes that are not UTF-8.
        private static final char REPLACEMENT = '\uFFFD';
        private static final int FIRST_BYTES = 256;
        private static final int MAX_KEPT_BYTES = 1_024;
        private static final byte[] NOTHING = {};

        private final int mMaxLineBytes;
        private final IntConsumer mPartialListener;
        private byte[] mBytes = NOTHING;
        private int mStart;
        private int mEnd;
        // The end of the bytes of the current line in which no line end is.
        private int mSearchedEnd;
        private int mReportedBytes;
        private boolean mBroken;

        Decoder(int maxLineBytes) {
            this(maxLineBytes, bytes -> {});
        }

        Decoder(int maxLineBytes, IntConsumer partialListener) {
            mMaxLineBytes = maxLineBytes;
            mPartialListener = partialListener;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf received = (ByteBuf) message;
            try {
                if (!mBroken) {
                    append(received);
                }
            } finally {
                received.release();
            }
            emitLines(context);
        }

        private void append(ByteBuf received) {
            int length = received.readableBytes();
            if (mEnd + length > mBytes.length) {
                makeRoom(length);
            }
            received.readBytes(mBytes, mEnd, length);
            mEnd += length;
        }

        private void makeRoom(int length) {
            int held = mEnd - mStart;
            byte[] target = mBytes;
            if (held + length > mBytes.length) {
                int wanted = Math.max(FIRST_BYTES, held + length);
                // A line that goes on is not copied for each of its pieces.
                target = new byte[held == 0 ? wanted : Math.max(wanted, held + held / 2)];
            }
            System.arraycopy(mBytes, mStart, target, 0, held);
            mSearchedEnd -= mStart;
            mBytes = target;
            mStart = 0;
            mEnd = held;
        }

        /** Emits whole lines as long as the channel reads. */
        void emitLines(ChannelHandlerContext context) {
            while (!mBroken && context.channel().config().isAutoRead()) {
                int lineBytes = findLineEnd();
                // Without its end, the last byte may be the CR.
                int knownBytes = lineBytes < 0 ? mEnd - mStart - 1 : lineBytes;
                if (knownBytes > mMaxLineBytes) {
                    breakOff(context);
                    return;
                }
                if (lineBytes < 0) {
                    break;
                }
                emitLine(context, lineBytes);
            }
            releaseRoom();
            report(mEnd - mStart);
        }

        private void breakOff(ChannelHandlerContext context) {
            // The rest cannot be told apart from the line.
            discard();
            context.fireExceptionCaught(
                    new TooLongFrameException(
                            "the line is longer than " + mMaxLineBytes + " bytes"));
        }

        private void discard() {
            mBroken = true;
            mBytes = NOTHING;
            mStart = 0;
            mEnd = 0;
            mSearchedEnd = 0;
            report(0);
        }

        private void emitLine(ChannelHandlerContext context, int lineBytes) {
            String text = new String(mBytes, mStart, lineBytes, StandardCharsets.UTF_8);
            boolean isUtf8 = isUnchanged(text, lineBytes);
            mStart += lineBytes + LINE_END_BYTES;
            mSearchedEnd = mStart;
            releaseRoom();
            report(0);
            if (isUtf8) {
                context.fireChannelRead(text);
            } else {
                context.fireExceptionCaught(new CorruptedFrameException("the line is not UTF-8"));
            }
        }

        private boolean isUnchanged(String text, int lineBytes) {
            if (text.indexOf(REPLACEMENT) < 0) {
                return true;
            }
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return Arrays.equals(bytes, 0, bytes.length, mBytes, mStart, mStart + lineBytes);
        }

        /** Gives the room back when no bytes are left. */
        private void releaseRoom() {
            if (mStart < mEnd) {
                return;
            }
            mStart = 0;
            mEnd = 0;
            mSearchedEnd = 0;
            if (mBytes.length > MAX_KEPT_BYTES) {
                mBytes = NOTHING;
            }
        }

        private void report(int bytes) {
            if (bytes != mReportedBytes) {
                mReportedBytes = bytes;
                mPartialListener.accept(bytes);
            }
        }

        /** Returns the length of the first line; -1 if its end has not arrived. */
        private int findLineEnd() {
            for (int index = mSearchedEnd; index < mEnd; index++) {
                boolean isEnd =
                        mBytes[index] == LINE_FEED
                                && index > mStart
                                && mBytes[index - 1] == CARRIAGE_RETURN;
                if (isEnd) {
                    return index - 1 - mStart;
                }
            }
            mSearchedEnd = mEnd;
            return -1;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            discard();
            context.fireChannelInactive();
        }
    }
}
