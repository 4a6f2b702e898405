package org.plantainferry.network.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes the responses of one connection, and ends it when bytes arrive that no request asked for.
 *
 * <p>Bytes are checked before they are decoded, so that part of a response does not wait here until
 * the next request is sent.
 */
final class AskedResponseDecoder extends HttpResponseDecoder {
    private final HttpConnection mConnection;

    AskedResponseDecoder(HttpConnection connection) {
        mConnection = connection;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out)
            throws Exception {
        if (mConnection.isAwaitingResponse()) {
            super.decode(context, buffer, out);
            return;
        }
        buffer.skipBytes(buffer.readableBytes());
        mConnection.onUnaskedBytes();
    }
}
