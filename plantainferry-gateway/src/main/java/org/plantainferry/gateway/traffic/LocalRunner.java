package org.plantainferry.gateway.traffic;

import java.util.function.Consumer;

/** Creates operations that run on connections of this instance. */
final class LocalRunner implements StatementRunner {
    private final ConnectionBroker mBroker;

    LocalRunner(ConnectionBroker broker) {
        mBroker = broker;
    }

    @Override
    public SingleStatement create(
            OperationContext context,
            String requestId,
            PreparedStatement statement,
            Consumer<OperationResult> callback) {
        return new SingleStatement(mBroker, context, requestId, statement, callback);
    }

    @Override
    public Transaction begin(
            OperationContext context, boolean readOnly, Consumer<String> endListener) {
        return new Transaction(mBroker, context, readOnly);
    }
}
