package org.plantainferry.network.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/**
 * Splits a byte stream into frames, each prefixed with its length as a varint.
 *
 * <p>Netty's decoder for this format has no frame size limit, so a peer could make it buffer up to
 * 2 GB.
 *
 * @since 0.1
 */
public final class BoundedFrameDecoder extends ByteToMessageDecoder {
    private static final int LENGTH_MAX_BYTES = 5;
    private static final int PAYLOAD_BITS = 7;
    private static final int PAYLOAD_MASK = 0x7f;

    private final int mMaxFrameBytes;

    /** Creates a decoder; a longer frame is reported as an exception of the channel. */
    public BoundedFrameDecoder(int maxFrameBytes) {
        mMaxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        int start = in.readerIndex();
        long length = 0;
        for (int index = 0; index < LENGTH_MAX_BYTES; index++) {
            if (!in.isReadable()) {
                in.readerIndex(start);
                return;
            }
            byte lengthByte = in.readByte();
            length |= (long) (lengthByte & PAYLOAD_MASK) << (index * PAYLOAD_BITS);
            if (lengthByte >= 0) {
                readFrame(in, start, length, out);
                return;
            }
        }
        throw new CorruptedFrameException("the length prefix of a frame exceeds 5 bytes");
    }

    private void readFrame(ByteBuf in, int start, long length, List<Object> out) {
        if (length > mMaxFrameBytes) {
            throw new TooLongFrameException(
                    "a frame of " + length + " bytes exceeds the limit of " + mMaxFrameBytes);
        }
        if (in.readableBytes() < length) {
            in.readerIndex(start);
        } else {
            out.add(in.readRetainedSlice((int) length));
        }
    }
}
