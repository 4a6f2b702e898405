package org.plantainferry.verification.bench;

import org.plantainferry.daemon.control.PeerMessageCodec;
import org.plantainferry.engine.limit.ShareAnswer;
import org.plantainferry.engine.limit.ShareRequest;
import org.plantainferry.engine.membership.HeartbeatContent;
import org.plantainferry.network.peer.generated.PeerMessage;

/** Computes the sizes of peer messages in bytes, including the length prefix. */
final class PeerMessageSizes {
    private static final int CALL_ID = 100_000;

    /** Size of the length prefix, which takes two bytes for messages of 128 bytes and more. */
    private static final int LENGTH_BYTES = 2;

    private PeerMessageSizes() {}

    static int heartbeatBytes(HeartbeatContent content) {
        return size(message().setHeartbeat(PeerMessageCodec.encode(content)));
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
