package org.plantainferry.gateway.traffic;

import java.util.Optional;
import java.util.function.Consumer;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.gateway.passing.HostLink;

/** Creates operations that a host runs, where the configuration calls for it. */
final class PassingRunner implements StatementRunner {
    private final ConnectionBroker mBroker;
    private final LocalRunner mLocal;
    private final HostSelection mHosts;

    PassingRunner(ConnectionBroker broker, HostSelection hosts) {
        mBroker = broker;
        mLocal = new LocalRunner(broker);
        mHosts = hosts;
    }

    @Override
    public SingleOperation create(
            OperationContext context,
            String requestId,
            PreparedStatement statement,
            Consumer<OperationResult> callback) {
        if (!mHosts.isConcentrated(context.route().service())) {
            return mLocal.create(context, requestId, statement, callback);
        }
        boolean isAtPrimary = statement.writes() || isPrimaryRequired(context);
        Optional<HostLink> link = mHosts.choose(context.route().service(), isAtPrimary);
        if (link.isEmpty()) {
            return mLocal.create(context, requestId, statement, callback);
        }
        return new PassedStatement(
                mBroker, mLocal, link.get(), context, requestId, statement, callback);
    }

    @Override
    public OpenTransaction begin(
            OperationContext context, boolean readOnly, Consumer<String> endListener) {
        if (!mHosts.isConcentrated(context.route().service())) {
            return mLocal.begin(context, readOnly, endListener);
        }
        boolean isAtPrimary = !readOnly || isPrimaryRequired(context);
        return new PassedTransaction(
                mBroker,
                () -> mHosts.choose(context.route().service(), isAtPrimary),
                () -> mLocal.begin(context, readOnly, endListener),
                context,
                readOnly,
                endListener);
    }

    private static boolean isPrimaryRequired(OperationContext context) {
        return context.route().guarantee() == ReadGuarantee.PRIMARY;
    }
}
