package org.plantainferry.verification.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.ServerRole;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.target.ServerState;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Guards the counts of bytes and probes on which the slopes rest. */
public class CountingRelayTest {
    private EventLoopGroup mGroup;

    @BeforeClass
    public void startEventLoops() {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterClass(alwaysRun = true)
    public void stopEventLoops() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    public void countsBytesOfBothDirectionsAndProbes() throws Exception {
        LongAdder bytes = new LongAdder();
        try (FakeTargets targets =
                new FakeTargets(mGroup, 1, 3, 50, List.of(new FailureDomain("como-a")))) {
            Service service = targets.services().get(0);
            String[] address = service.servers().get(0).address().split(":");
            InetSocketAddress target =
                    new InetSocketAddress(address[0], Integer.parseInt(address[1]));
            try (CountingRelay relay = new CountingRelay(mGroup, target, bytes)) {
                String body = fetchState(relay);
                ServerState state =
                        Json.read(body, ServerState.class, ErrorCode.TARGET_UNAVAILABLE);
                assertEquals(state.role(), ServerRole.PRIMARY);
                assertEquals(targets.probeCount(), 1);
                assertEquals(
                        bytes.sum(), targets.payloadBytes(), "bytes at the relay and the target");
                assertTrue(bytes.sum() > body.length(), bytes.sum() + " bytes");
            }
        }
    }

    private static String fetchState(CountingRelay relay) throws Exception {
        URI uri = URI.create("http://" + InProcessFleet.hostAndPort(relay.address()) + "/state");
        HttpRequest request =
                HttpRequest.newBuilder(uri).version(HttpClient.Version.HTTP_1_1).build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofString())
                .body();
    }
}
