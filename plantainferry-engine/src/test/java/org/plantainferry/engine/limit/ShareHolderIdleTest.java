package org.plantainferry.engine.limit;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.DomainShare;
import org.plantainferry.api.configuration.Workspace;
import org.testng.annotations.Test;

/**
 * Guards against the refusal of the first caller after an idle time.
 *
 * <p>Answers to periodic requests of an idle instance grant nothing. They were taken for fruitless
 * asks, so the first caller within the backoff that followed was refused without being asked for.
 */
public class ShareHolderIdleTest {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final InstanceId IDLE = new InstanceId("idle");
    private static final InstanceId ALLOCATOR = new InstanceId("allocator");
    private static final WorkspaceName WORKSPACE = new WorkspaceName("bench");

    @Test
    public void requestsTokensAtOnceForTheFirstCallerAfterIdleTime() {
        Configuration configuration = configuration();
        for (int offset = 0; offset < 60; offset++) {
            long now = TimeUnit.SECONDS.toNanos(1);
            SlotConfiguration terms = new SlotConfiguration(configuration);
            ShareHolder holder = new ShareHolder(now, IDLE, terms);
            ShareAllocator allocator = new ShareAllocator(now, terms, 1);
            for (int step = 0; step < 600 + offset; step++) {
                now += STEP_NANOS;
                exchange(now, holder, allocator);
            }
            Acquisition first = holder.bucket(WORKSPACE).orElseThrow().tryAcquire(now);
            assertTrue(
                    !(first instanceof Acquisition.Refused),
                    "refused at " + offset * 10 + " ms into the period");
            exchange(now, holder, allocator);
            Acquisition second = holder.bucket(WORKSPACE).orElseThrow().retryAcquire(now);
            assertTrue(second instanceof Acquisition.Granted, "not granted: " + second);
        }
    }

    private static void exchange(long now, ShareHolder holder, ShareAllocator allocator) {
        for (SendShareRequest send : holder.tick(now, 4, name -> List.of(ALLOCATOR, IDLE))) {
            allocator
                    .handleRequest(now, send.request())
                    .answer()
                    .ifPresent(answer -> holder.applyAnswer(now, send.allocator(), answer));
        }
    }

    private static Configuration configuration() {
        Workspace workspace = new Workspace(WORKSPACE, 100, 20, null, null, List.of(), List.of());
        ConfigurationParts parts =
                new ConfigurationParts(
                        List.of(new DomainShare(new FailureDomain("como-a"), 4)),
                        List.of(),
                        List.of(workspace),
                        List.of(),
                        List.of());
        return new Configuration(1, List.of("first"), parts);
    }
}
