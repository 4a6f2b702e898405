package org.plantainferry.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.plantainferry.network.peer.PeerHandler;
import org.plantainferry.network.peer.generated.ForwardRequest;
import org.plantainferry.network.peer.generated.PeerMessage;

/**
 * Dispatches messages from other instances to control or traffic by their content.
 *
 * @since 0.1
 */
public final class PeerDispatcher implements PeerHandler {
    private volatile ControlPlane mControl;
    private volatile Function<ForwardRequest, CompletableFuture<PeerMessage>> mForwardHandler;

    /** Creates a dispatcher that drops all messages until {@link #setReceivers} is called. */
    public PeerDispatcher() {}

    /** Sets the receivers, which do not exist yet when the peer listener opens. */
    void setReceivers(
            ControlPlane control,
            Function<ForwardRequest, CompletableFuture<PeerMessage>> forwardHandler) {
        mForwardHandler = forwardHandler;
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
