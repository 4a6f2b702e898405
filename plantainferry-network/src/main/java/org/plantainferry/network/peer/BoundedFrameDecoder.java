package org.plantainferry.network.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/**
 * Cuts a stream into frames that begin with their length as a varint.
 *
 * <p>Netty's decoder of this format has no limit of its own, so that a peer could make it collect
 * up to 2 GB.
 */
final class BoundedFrameDecoder extends ByteToMessageDecoder {
    private static final int LENGTH_MAX_BYTES = 5;
    private static final int PAYLOAD_BITS = 7;
    private static final int PAYLOAD_MASK = 0x7f;

    private final int mMaxFrameBytes;

    BoundedFrameDecoder(int maxFrameBytes) {
        mMaxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        int start = in.readerIndex();
        long length = 0;
        for (int count = 0; count < LENGTH_MAX_BYTES; count++) {
            if (!in.isReadable()) {
                in.readerIndex(start);
                return;
            }
            byte next = in.readByte();
            length |= (long) (next & PAYLOAD_MASK) << (count * PAYLOAD_BITS);
            if (next >= 0) {
                readFrame(in, start, length, out);
                return;
            }
        }
        throw new CorruptedFrameException("the length of a frame has more than 5 bytes");
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
