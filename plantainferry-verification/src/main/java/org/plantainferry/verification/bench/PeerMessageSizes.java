package org.plantainferry.verification.bench;

import org.plantainferry.daemon.control.PeerMessageCodec;
import org.plantainferry.engine.limit.ShareAnswer;
import org.plantainferry.engine.limit.ShareRequest;
import org.plantainferry.engine.membership.HeartbeatContent;
import org.plantainferry.network.peer.generated.PeerMessage;

/** Returns the sizes of peer messages in bytes, with the length that precedes each. */
final class PeerMessageSizes {
    private static final int CALL_ID = 100_000;

    /** The length of messages of 128 bytes and more takes two bytes. */
    private static final int LENGTH_BYTES = 2;

    private PeerMessageSizes() {}

    static int heartbeatBytes(HeartbeatContent view) {
        return size(message().setHeartbeat(PeerMessageCodec.encode(view)));
    }

    static int shareRequestBytes(ShareRequest request) {
        return size(message().setShareRequest(PeerMessageCodec.encode(request)));
    }

    static int shareAnswerBytes(ShareAnswer answer) {
        return size(message().setShareAnswer(PeerMessageCodec.encode(answer)));
    }

    private static PeerMessage.Builder message() {
        return PeerMessage.newBuilder().setCall(CALL_ID);
    }

    private static int size(PeerMessage.Builder message) {
        return message.build().getSerializedSize() + LENGTH_BYTES;
    }
}
