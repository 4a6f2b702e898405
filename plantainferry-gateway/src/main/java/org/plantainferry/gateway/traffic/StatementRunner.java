package org.plantainferry.gateway.traffic;

import java.util.function.Consumer;

/** Creates the operations of sessions, and decides where they run. */
interface StatementRunner {
    /** Creates a read or write outside a transaction. The callback runs once after its start. */
    SingleOperation create(
            OperationContext context,
            String requestId,
            PreparedStatement statement,
            Consumer<OperationResult> callback);

    /**
     * Begins a transaction.
     *
     * @param endListener called with the reason when the transaction is lost while it has no
     *     statement in progress
     */
    OpenTransaction begin(OperationContext context, boolean readOnly, Consumer<String> endListener);
}
