package org.plantainferry.gateway.feed;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/**
 * Encodes the objects of one feed for other instances.
 *
 * @since 0.3
 */
interface FeedCodec<T> {
    /** Encodes the content of an object. */
    ByteString encode(T value);

    /**
     * Decodes the content of an object.
     *
     * @throws InvalidProtocolBufferException if the bytes are not such a content
     */
    T decode(String name, ByteString content) throws InvalidProtocolBufferException;
}
