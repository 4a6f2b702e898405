package org.plantainferry.network.operator;

import static org.plantainferry.network.http.FutureAssertions.assertFailsWith;
import static org.plantainferry.network.http.FutureAssertions.await;
import static org.plantainferry.network.http.ScriptedServer.readRequest;
import static org.plantainferry.network.http.ScriptedServer.response;
import static org.plantainferry.network.http.ScriptedServer.write;
import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.Verdict;
import org.plantainferry.network.http.ScriptedServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Guards against a status that cannot be read because of its optional or new properties. */
public class HttpInstanceStatusReaderTest {
    private static final String STATUS =
            "{\"instance\":\"i1\",\"failureDomain\":\"como-a\",\"state\":\"live\",\"new\":1,"
                    + "\"configurationVersion\":5,\"freshness\":\"FRESH\",\"members\":[],"
                    + "\"services\":[{\"service\":\"ledger\",\"term\":2,\"servers\":[{\"server\":"
                    + "\"s1\",\"role\":\"none\",\"term\":2,\"position\":9,\"reachable\":true,"
                    + "\"leaving\":false}]}]}";

    private EventLoopGroup mGroup;

    @BeforeClass
    public void start() {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterClass
    public void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against a status that is refused although it is only partly known. */
    @Test
    public void readsStatus() throws Exception {
        InstanceStatus status = await(read(response(200, "", STATUS)));
        assertEquals(status.configurationVersion(), 5);
        assertEquals(status.services().get(0).primary(), Optional.empty());
        assertEquals(status.services().get(0).servers().get(0).lagMillis(), Optional.empty());
    }

    /** Guards against a status without its version, which would count as version 0. */
    @Test
    public void refusesIncompleteStatus() throws Exception {
        String body = STATUS.replace("\"configurationVersion\":5,", "");
        assertFailsWith(read(response(200, "", body)), Verdict.NOT_RUN);
        assertFailsWith(read(response(500, "", STATUS)), Verdict.NOT_RUN);
        assertFailsWith(read(""), Verdict.NOT_RUN);
    }

    private CompletableFuture<InstanceStatus> read(String text) throws Exception {
        ScriptedServer server =
                new ScriptedServer(
                        socket -> {
                            readRequest(socket);
                            write(socket, text);
                        });
        CompletableFuture<InstanceStatus> status =
                new HttpInstanceStatusReader(mGroup).read(server.address());
        await(status.handle((value, error) -> true));
        server.close();
        return status;
    }
}
