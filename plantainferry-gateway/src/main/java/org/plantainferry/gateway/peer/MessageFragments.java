package org.plantainferry.gateway.peer;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.MessageFragment;

/**
 * Splits messages that are too long for one datagram.
 *
 * <p>Not thread-safe.
 */
final class MessageFragments {
    /** The longest datagram that every build reads whole, in bytes. */
    static final int MAX_DATAGRAM_BYTES = 2_048;

    /** The longest message that is sent, in bytes. */
    static final int MAX_MESSAGE_BYTES = 1_048_576;

    /** The shortest content of a fragment other than the last one, in bytes. */
    static final int MIN_CONTENT_BYTES = 256;

    // Room for the numbers of a fragment and the tags and lengths around its content.
    private static final int FRAGMENT_OVERHEAD_BYTES = 48;

    private long mLastMessage;

    MessageFragments(Random random) {
        // Fragments of an earlier process of this instance must not match.
        mLastMessage = random.nextLong();
    }

    /**
     * Returns the datagrams of a message: the message itself if it fits into one.
     *
     * <p>Empty if the message is longer than {@link #MAX_MESSAGE_BYTES}.
     */
    List<byte[]> split(InstanceMessage message) {
        byte[] bytes = message.toByteArray();
        if (bytes.length <= MAX_DATAGRAM_BYTES) {
            return List.of(bytes);
        }
        if (bytes.length > MAX_MESSAGE_BYTES) {
            return List.of();
        }
        int nameBytes = message.getInstanceBytes().size();
        int contentBytes =
                Math.max(
                        MIN_CONTENT_BYTES,
                        MAX_DATAGRAM_BYTES - FRAGMENT_OVERHEAD_BYTES - nameBytes);
        int count = (bytes.length + contentBytes - 1) / contentBytes;
        mLastMessage++;
        List<byte[]> datagrams = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            int start = index * contentBytes;
            int length = Math.min(contentBytes, bytes.length - start);
            MessageFragment.Builder fragment =
                    MessageFragment.newBuilder()
                            .setMessage(mLastMessage)
                            .setIndex(index)
                            .setCount(count)
                            .setContent(ByteString.copyFrom(bytes, start, length));
            datagrams.add(
                    InstanceMessage.newBuilder()
                            .setInstance(message.getInstance())
                            .setFragment(fragment)
                            .build()
                            .toByteArray());
        }
        return datagrams;
    }
}
