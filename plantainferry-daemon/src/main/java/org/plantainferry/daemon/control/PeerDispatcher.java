package org.plantainferry.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.plantainferry.network.peer.PeerHandler;
import org.plantainferry.network.peer.generated.ForwardRequest;
import org.plantainferry.network.peer.generated.PeerMessage;

/**
 * Passes messages of other instances to the part that handles them.
 *
 * @since 0.1
 */
public final class PeerDispatcher implements PeerHandler {
    private volatile ControlPlane mControl;
    private volatile Function<ForwardRequest, CompletableFuture<PeerMessage>> mForwardHandler;

    /** Creates a dispatcher that drops messages until {@link #setReceivers}. */
    public PeerDispatcher() {}

    /** Sets the receivers; the listener opens before they exist. */
    void setReceivers(
            ControlPlane control,
            Function<ForwardRequest, CompletableFuture<PeerMessage>> forward) {
        mForwardHandler = forward;
        mControl = control;
    }

    @Override
    public CompletableFuture<PeerMessage> handle(PeerMessage message) {
        ControlPlane control = mControl;
        if (control == null) {
            return CompletableFuture.completedFuture(null);
        }
        return switch (message.getContentCase()) {
            case HEARTBEAT -> control.onHeartbeat(message.getHeartbeat());
            case SHARE_REQUEST -> control.onShareRequest(message.getShareRequest());
            case CONFIGURATION_REQUEST ->
                    control.onConfigurationRequest(message.getConfigurationRequest());
            case PROBE_OPINION_REQUEST ->
                    control.onOpinionRequest(message.getProbeOpinionRequest());
            case FORWARD_REQUEST -> mForwardHandler.apply(message.getForwardRequest());
            case SHARE_RECALL -> {
                control.onShareRecall(message.getShareRecall().getInstance());
                yield CompletableFuture.completedFuture(null);
            }
            default -> CompletableFuture.completedFuture(null);
        };
    }
}
