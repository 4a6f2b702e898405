package org.plantainferry.network.peer;

import io.netty.util.concurrent.Future;
import java.util.concurrent.CompletableFuture;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.network.peer.generated.PeerMessage;

/** Holds a call until its answer, its timeout or the end of its connection. */
final class PendingCall {
    private final CompletableFuture<PeerMessage> mResult;
    private final Future<?> mTimeout;
    private boolean mWritten;

    PendingCall(CompletableFuture<PeerMessage> result, Future<?> deadline) {
        mResult = result;
        mTimeout = deadline;
    }

    void markWritten() {
        mWritten = true;
    }

    boolean isWritten() {
        return mWritten;
    }

    void complete(PeerMessage answer) {
        mTimeout.cancel(false);
        mResult.complete(answer);
    }

    void fail(String message) {
        mTimeout.cancel(false);
        Verdict verdict = mWritten ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        mResult.completeExceptionally(
                new PlantainferryException(ErrorCode.PEER_UNAVAILABLE, message, verdict, 0, null));
    }
}
