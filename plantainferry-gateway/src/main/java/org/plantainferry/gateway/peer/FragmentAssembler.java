package org.plantainferry.gateway.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.MessageFragment;

/**
 * Puts messages together from their fragments, which arrive in any order, repeatedly or not at all.
 *
 * <p>Incomplete messages are kept up to a total size; the oldest are dropped first. Not
 * thread-safe.
 */
final class FragmentAssembler {
    /** The total size of the fragments that wait for others, in bytes. */
    static final int MAX_PENDING_BYTES = 4 * 1024 * 1024;

    private static final int MAX_FRAGMENTS =
            MessageFragments.MAX_MESSAGE_BYTES / MessageFragments.MIN_CONTENT_BYTES + 1;

    private record MessageKey(String instance, long message) {}

    /** Holds the fragments of one message; missing ones are null. */
    private static final class PendingMessage {
        private final ByteString[] mContents;
        private int mMissing;
        private int mBytes;

        PendingMessage(int count) {
            mContents = new ByteString[count];
            mMissing = count;
        }

        /** Adds a fragment; returns the bytes by which this message has grown. */
        int add(int index, ByteString content) {
            if (mContents[index] != null) {
                return 0;
            }
            mContents[index] = content;
            mMissing--;
            mBytes += content.size();
            return content.size();
        }
    }

    private final Map<MessageKey, PendingMessage> mPending = new LinkedHashMap<>();
    private int mPendingBytes;

    /**
     * Adds a fragment.
     *
     * @return the message if this was its last missing fragment
     * @throws InvalidProtocolBufferException if the fragment or the message is malformed
     */
    Optional<InstanceMessage> add(String instance, MessageFragment fragment)
            throws InvalidProtocolBufferException {
        requireValid(fragment);
        MessageKey key = new MessageKey(instance, fragment.getMessage());
        PendingMessage pending =
                mPending.computeIfAbsent(key, absent -> new PendingMessage(fragment.getCount()));
        if (pending.mContents.length != fragment.getCount()) {
            throw new InvalidProtocolBufferException("fragments disagree on their number");
        }
        mPendingBytes += pending.add(fragment.getIndex(), fragment.getContent());
        if (pending.mMissing > 0) {
            dropOldest();
            return Optional.empty();
        }
        remove(key);
        List<ByteString> contents = new ArrayList<>(Arrays.asList(pending.mContents));
        return Optional.of(InstanceMessage.parseFrom(ByteString.copyFrom(contents)));
    }

    private static void requireValid(MessageFragment fragment)
            throws InvalidProtocolBufferException {
        boolean isValid =
                fragment.getCount() > 0
                        && fragment.getCount() <= MAX_FRAGMENTS
                        && fragment.getIndex() >= 0
                        && fragment.getIndex() < fragment.getCount();
        if (!isValid) {
            throw new InvalidProtocolBufferException(
                    "fragment " + fragment.getIndex() + " of " + fragment.getCount());
        }
    }

    private void remove(MessageKey key) {
        mPendingBytes -= mPending.remove(key).mBytes;
    }

    private void dropOldest() {
        Iterator<PendingMessage> oldest = mPending.values().iterator();
        while (mPendingBytes > MAX_PENDING_BYTES && mPending.size() > 1) {
            mPendingBytes -= oldest.next().mBytes;
            oldest.remove();
        }
    }
}
