package org.plantainferry.gateway.feed;

import com.google.protobuf.ByteString;

/** Encodes objects whose name is their whole content. */
final class NameCodec implements FeedCodec<String> {
    @Override
    public ByteString encode(String value) {
        return ByteString.EMPTY;
    }

    @Override
    public String decode(String name, ByteString content) {
        return name;
    }
}
