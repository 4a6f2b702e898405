package org.plantainferry.gateway.traffic;

import static org.testng.Assert.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.ServerCatalog;
import org.plantainferry.gateway.processor.LoopDelayProbe;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.CallerMessage;
import org.plantainferry.gateway.statement.Statement;
import org.testng.annotations.Test;

/**
 * Guards against callers that send many statements ahead while there is no room: a stack overflow
 * in the traffic thread would end the service for all callers.
 */
public final class CallerSessionTest {
    private static final int STATEMENTS_AHEAD = 40;
    private static final long MEMORY_BYTES = 8L * 1024 * 1024;

    private static final WireFormat FORMAT =
            (WireFormat)
                    Proxy.newProxyInstance(
                            WireFormat.class.getClassLoader(),
                            new Class<?>[] {WireFormat.class},
                            (proxy, method, arguments) ->
                                    method.getName().equals("readCallerLine")
                                            ? message((String) arguments[0])
                                            : method.getName());

    private static CallerMessage message(String line) {
        return line.equals("open")
                ? new CallerMessage.Open("db", "key")
                : new CallerMessage.Request(line, new Statement.Read("item"));
    }

    /** Ends the first statement when it is told to, and refuses all others at once. */
    private static final class RefusingRunner implements StatementRunner {
        private final List<String> mStarted = new ArrayList<>();
        private final Set<Long> mStackDepths = new HashSet<>();
        private Runnable mEndFirst = () -> {};

        @Override
        public SingleOperation create(
                OperationContext context,
                String requestId,
                PreparedStatement statement,
                Consumer<OperationResult> callback) {
            return new SingleOperation() {
                @Override
                public void start() {
                    mStarted.add(requestId);
                    Runnable refusal =
                            () -> callback.accept(OperationResult.Failed.notRun("no room", 10));
                    if (mStarted.size() == 1) {
                        mEndFirst = refusal;
                        return;
                    }
                    mStackDepths.add(StackWalker.getInstance().walk(Stream::count));
                    refusal.run();
                }

                @Override
                public void abandon(String reason) {}
            };
        }

        @Override
        public OpenTransaction begin(
                OperationContext context, boolean readOnly, Consumer<String> endCallback) {
            throw new UnsupportedOperationException();
        }
    }

    private static TrafficContext traffic(EventLoop loop, StatementRunner runner) {
        DatabaseRoute route =
                new DatabaseRoute("db", "svc", ReadGuarantee.PRIMARY, 0, 1_000, 1_000, 0, true);
        RoutingConfiguration empty = RoutingConfiguration.EMPTY;
        RoutingConfiguration configuration =
                new RoutingConfiguration(
                        1,
                        Map.of("db", route),
                        empty.groups(),
                        empty.keys(),
                        empty.limits(),
                        empty.transactionIdleMillis());
        FleetView view = new FleetView(configuration, ServerCatalog.EMPTY, 0, Map.of(), Set.of());
        WorkspaceRateLimiter limits =
                new WorkspaceRateLimiter(
                        "instance", "domain", () -> view, null, System::nanoTime, null, null);
        TrafficMetrics metrics = new TrafficMetrics(new SimpleMeterRegistry());
        return new TrafficContext(
                loop,
                FORMAT,
                new ConnectionBroker(loop, null, null, System::nanoTime, null, null, null),
                new AdmissionControl(() -> view, limits, System::nanoTime, 1_000),
                metrics,
                runner,
                new ConnectionMemory(loop, MEMORY_BYTES, metrics),
                10,
                new LoopDelayProbe(loop, "traffic", System::nanoTime));
    }

    @Test
    public void refusesStatementsSentAheadInOrderWithoutNesting() {
        RefusingRunner runner = new RefusingRunner();
        EventLoop loop = new EmbeddedChannel().eventLoop();
        EmbeddedChannel channel = new EmbeddedChannel(new CallerSession(traffic(loop, runner)));
        channel.writeInbound("open");
        List<String> sent = new ArrayList<>();
        for (int number = 0; number < STATEMENTS_AHEAD; number++) {
            sent.add("q" + number);
            channel.writeInbound("q" + number);
        }
        assertEquals(runner.mStarted, List.of("q0"));

        runner.mEndFirst.run();

        assertEquals(runner.mStarted, sent);
        assertEquals(channel.outboundMessages().size(), 1 + STATEMENTS_AHEAD);
        assertEquals(runner.mStackDepths.size(), 1, "depths " + runner.mStackDepths);
    }
}
