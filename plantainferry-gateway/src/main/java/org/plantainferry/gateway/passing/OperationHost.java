package org.plantainferry.gateway.passing;

import org.plantainferry.gateway.peer.generated.PassedOperation;
import org.plantainferry.gateway.peer.generated.PassedStep;

/**
 * Runs the operations that other instances pass to this one; called on the traffic thread.
 *
 * @since 0.4
 */
public interface OperationHost {
    /** Called when another instance may begin to pass operations over a link. */
    void onLinkOpened(AcceptedLink link);

    /** Called with a new operation; it must be answered or refused. */
    void onStart(AcceptedLink link, long operation, PassedOperation start);

    /** Called with the next statement of a transaction; it must be answered or refused. */
    void onStep(AcceptedLink link, long operation, PassedStep step);

    /** Called when nobody waits for an operation any more; it may have ended already. */
    void onEnd(AcceptedLink link, long operation, String reason);

    /** Called once when a link has ended, with all its operations. */
    void onLinkEnded(AcceptedLink link);
}
