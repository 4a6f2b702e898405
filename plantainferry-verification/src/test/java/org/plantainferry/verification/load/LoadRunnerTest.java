package org.plantainferry.verification.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.verification.standin.group.GroupSettings;
import org.plantainferry.verification.standin.group.GroupStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the results of load runs and the rejection of addresses of other machines. */
public class LoadRunnerTest {
    private static final long SERVICE_TIME_MILLIS = 40;

    private GroupStandIn mGroupStandIn;
    private EventLoopGroup mEventLoops;

    @BeforeClass
    public void startServer() {
        mGroupStandIn =
                new GroupStandIn(
                        GroupSettings.withDefaults(
                                "ledger",
                                "127.0.0.1:0",
                                List.of(new GroupSettings.Server("ledger-1", "127.0.0.1:0"))));
        mGroupStandIn.setServiceMillis("ledger-1", SERVICE_TIME_MILLIS);
        mEventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterClass(alwaysRun = true)
    public void stopServer() {
        mGroupStandIn.close();
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    public void includesQueueingDelayInLatencyAtAPlannedRate() throws Exception {
        // One caller completes at most 25 requests per second. At a planned rate of 100, the
        // backlog grows by 0.75 s per second, which a latency measured from the send time would
        // hide.
        LoadReport report = run(Optional.of(100.0), 2_000);
        assertTrue(report.latencyMillis(90) > 500, report.text());
    }

    @Test
    public void measuresLatencyFromSendTimeInAClosedLoop() throws Exception {
        LoadReport report = run(Optional.empty(), 1_000);
        assertEquals(report.errorCount(), 0, report.text());
        assertTrue(report.latency().getTotalCount() >= 3, report.text());
        assertTrue(report.latency().getMinValue() >= SERVICE_TIME_MILLIS * 900_000, report.text());
    }

    @Test
    public void countsAnUnreachableAddressAsConnectionErrors() throws Exception {
        LoadPlan plan =
                new LoadPlan(
                        List.of("127.0.0.1:1"),
                        RequestFactory.forServer(1),
                        1,
                        Optional.empty(),
                        1,
                        false,
                        false,
                        0,
                        300,
                        1);
        LoadReport report = new LoadRunner(mEventLoops).run(plan);
        assertEquals(report.errors().keySet().toString(), "[NONE CONNECTION]");
    }

    @Test
    public void rejectsAddressesOfOtherMachines() {
        Exception exception =
                expectThrows(
                        PlantainferryException.class,
                        () -> LoopbackAddresses.requireLoopback("192.0.2.1:80"));
        assertTrue(exception.getMessage().contains("loopback"), exception.getMessage());
    }

    private LoadReport run(Optional<Double> ratePerSecond, long durationMillis)
            throws InterruptedException {
        String address = "127.0.0.1:" + mGroupStandIn.address("ledger-1").getPort();
        LoadPlan plan =
                new LoadPlan(
                        List.of(address),
                        RequestFactory.forServer(1),
                        1,
                        ratePerSecond,
                        1,
                        false,
                        false,
                        200,
                        durationMillis,
                        1);
        return new LoadRunner(mEventLoops).run(plan);
    }
}
