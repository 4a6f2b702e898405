package org.plantainferry.network.store;

import static org.plantainferry.network.http.FutureAssertions.assertFailsWith;
import static org.plantainferry.network.http.FutureAssertions.await;
import static org.plantainferry.network.http.ScriptedServer.readRequest;
import static org.plantainferry.network.http.ScriptedServer.response;
import static org.plantainferry.network.http.ScriptedServer.write;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.Verdict;
import org.plantainferry.network.http.ScriptedServer;
import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against writes that wrongly count as not made, and misread responses. */
public class HttpPlatformStoreTest {
    private static final StoreTimeouts TIMEOUTS = new StoreTimeouts(500, 500, 300);

    private final LinkedBlockingQueue<String> mRequests = new LinkedBlockingQueue<>();
    private EventLoopGroup mGroup;

    @BeforeClass
    public void start() {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @BeforeMethod
    public void clear() {
        mRequests.clear();
    }

    @AfterClass
    public void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against lost versions, and an absent object that is reported as a failure. */
    @Test
    public void readsObjects() throws Exception {
        try (ScriptedServer server = startServer(response(200, "ETag: \"7\"\r\n", "{\"a\":1}"))) {
            assertEquals(
                    await(newStore(server).get("groups/ledger")).orElseThrow(),
                    new StoreObject("groups/ledger", 7, Optional.of("{\"a\":1}")));
            assertTrue(awaitRequest().startsWith("GET /objects/groups/ledger HTTP/1.1"));
        }
        try (ScriptedServer server = startServer(response(404, "", ""))) {
            assertEquals(await(newStore(server).get("absent")), Optional.empty());
        }
    }

    /** Guards against writes and removals that are sent without their condition. */
    @Test
    public void sendsConditions() throws Exception {
        try (ScriptedServer server = startServer(response(200, "ETag: \"8\"\r\n", ""))) {
            HttpPlatformStore store = newStore(server);
            assertEquals(await(store.put("a", "1", WriteCondition.atVersion(7))), Optional.of(8L));
            assertTrue(awaitRequest().toLowerCase().contains("if-match: \"7\"\r\n"));
            await(store.put("a", "1", WriteCondition.ABSENT));
            assertTrue(awaitRequest().toLowerCase().contains("if-none-match: *\r\n"));
            assertTrue(await(store.delete("a", 8)));
            assertTrue(awaitRequest().toLowerCase().contains("if-match: \"8\"\r\n"));
        }
        try (ScriptedServer server = startServer(response(412, "", ""))) {
            HttpPlatformStore store = newStore(server);
            assertEquals(await(store.put("a", "1", WriteCondition.ABSENT)), Optional.empty());
            assertFalse(await(store.delete("a", 1)));
        }
    }

    /** Lists responses that leave it unknown whether a write was made. */
    @DataProvider
    public Object[][] uncertainAnswers() {
        return new Object[][] {
            {"lost", ""},
            {"outage", response(503, "", "")},
            {"error", response(500, "", "")},
            {"no version", response(200, "ETag: \"x\"\r\n", "")},
            {"cut", "HTTP/1.1 200 X\r\nETag: \"8\"\r\nContent-Length: 5\r\n\r\n{"},
            {"too large", response(200, "ETag: \"8\"\r\n", "x".repeat(5 * 1024 * 1024))},
        };
    }

    /** Guards against {@code NOT_RUN} for a write that may have been made. */
    @Test(dataProvider = "uncertainAnswers")
    public void uncertainAnswerMeansMayHaveRun(String description, String text) throws Exception {
        try (ScriptedServer server = startServer(text)) {
            HttpPlatformStore store = newStore(server);
            assertEquals(
                    assertFailsWith(
                                    store.put("a", "1", WriteCondition.ABSENT),
                                    Verdict.MAY_HAVE_RUN)
                            .code(),
                    ErrorCode.STORE_UNAVAILABLE);
            assertFailsWith(store.get("a"), Verdict.NOT_RUN);
        }
    }

    /** Guards against {@code NOT_RUN} for a removal that may have been made. */
    @Test
    public void lateAnswerToDeleteMeansMayHaveRun() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(
                        socket -> {
                            readRequest(socket);
                            readRequest(socket);
                        })) {
            assertFailsWith(newStore(server).delete("a", 1), Verdict.MAY_HAVE_RUN);
        }
    }

    /** Guards against {@code MAY_HAVE_RUN} for writes that were never sent. */
    @Test
    public void unreachableStoreMeansNotRun() throws Exception {
        ScriptedServer server = startServer("");
        HttpPlatformStore store = newStore(server);
        server.close();
        assertFailsWith(store.put("a", "1", WriteCondition.ABSENT), Verdict.NOT_RUN);
        store.close();
        assertFailsWith(store.delete("a", 1), Verdict.NOT_RUN);
    }

    /** Guards against listings that omit removed objects, and values that are altered. */
    @Test
    public void readsListings() throws Exception {
        String body =
                "{\"revision\":9,\"objects\":[{\"path\":\"a\",\"version\":1,\"value\":\"{}\"},"
                        + "{\"path\":\"b\",\"version\":2,\"value\":null}]}";
        try (ScriptedServer server = startServer(response(200, "", body))) {
            StoreListing listing = await(newStore(server).watch("x/ y", 8, 10));
            assertEquals(listing.revision(), 9);
            assertEquals(
                    listing.objects(),
                    List.of(
                            new StoreObject("a", 1, Optional.of("{}")),
                            new StoreObject("b", 2, Optional.empty())));
        }
        String instances =
                "{\"instances\":[{\"id\":\"i1\",\"failureDomain\":\"como-a\",\"peerAddress\":\"1\","
                        + "\"callerAddress\":\"2\",\"operatorAddress\":\"3\",\"state\":\"live\","
                        + "\"new\":1}]}";
        try (ScriptedServer server = startServer(response(200, "", instances))) {
            assertEquals(await(newStore(server).instances()).get(0).operatorAddress(), "3");
        }
    }

    /** Provides entries that cannot be used. */
    @DataProvider
    public Object[][] oddInstances() {
        return new Object[][] {
            {"{\"id\":\"i0\",\"peerAddress\":" + "[".repeat(400) + "]".repeat(400) + "}"},
            {"{\"id\":\"i0\",\"state\":{\"since\":" + "9".repeat(5_000) + "}}"},
            {"{\"id\":{}}"},
            {"\"bytes\""},
            {"[]"},
        };
    }

    /** Guards against one odd entry of another writer that makes the whole list unreadable. */
    @Test(dataProvider = "oddInstances")
    public void readsTheOtherInstancesBesideAnOddEntry(String odd) throws Exception {
        String usable =
                "{\"id\":\"i1\",\"failureDomain\":\"como-a\",\"peerAddress\":\"1\","
                        + "\"callerAddress\":\"2\",\"operatorAddress\":\"3\",\"state\":\"live\"}";
        String list = "{\"instances\":[" + odd + "," + usable + "]}";
        try (ScriptedServer server = startServer(response(200, "", list))) {
            assertEquals(
                    await(newStore(server).instances()).stream()
                            .map(InstanceRecord::operatorAddress)
                            .toList(),
                    List.of("3"));
        }
    }

    /** Guards against a watch that ends at the timeout for calls, or never. */
    @Test
    public void watchHasItsOwnTimeout() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(
                        socket -> {
                            while (!readRequest(socket).isEmpty()) {
                                Thread.sleep(800);
                                write(socket, response(200, "", "{\"revision\":1,\"objects\":[]}"));
                            }
                        })) {
            HttpPlatformStore store = newStore(server);
            assertEquals(await(store.watch("", 0, 1_500)).revision(), 1);
            assertFailsWith(store.watch("", 0, 100), Verdict.NOT_RUN);
        }
    }

    /** Guards against an unbounded number of calls while the store does not respond. */
    @Test
    public void boundsCallsInProgress() throws Exception {
        try (ScriptedServer server =
                new ScriptedServer(socket -> readRequest(socket).concat(readRequest(socket)))) {
            HttpPlatformStore store = newStore(server);
            for (int i = 0; i < 32; i++) {
                store.watch("", 0, 5_000);
            }
            CompletableFuture<?> rejected = store.get("a");
            assertTrue(rejected.isCompletedExceptionally());
            store.close();
        }
    }

    /** Guards against damaged responses that throw an exception or never complete the future. */
    @Test
    public void damagedAnswersFailOnlyTheirCall() throws Exception {
        long seed = new Random().nextLong();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        for (int round = 0; round < 100; round++) {
            byte[] text =
                    response(200, "ETag: \"7\"\r\n", "{\"revision\":9,\"objects\":[]}").getBytes();
            for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                text[random.nextInt(text.length)] = (byte) random.nextInt();
            }
            try (ScriptedServer server =
                    new ScriptedServer(
                            socket -> {
                                readRequest(socket);
                                socket.getOutputStream().write(text);
                            })) {
                HttpPlatformStore store = newStore(server);
                CompletableFuture<?> listing = store.list("");
                await(listing.handle((value, error) -> error));
                if (listing.isCompletedExceptionally()) {
                    assertFailsWith(listing, Verdict.NOT_RUN);
                }
                store.close();
            }
        }
    }

    private ScriptedServer startServer(String text) throws Exception {
        return new ScriptedServer(
                socket -> {
                    for (String request = readRequest(socket);
                            !request.isEmpty();
                            request = readRequest(socket)) {
                        mRequests.add(request);
                        write(socket, text);
                        if (!text.endsWith("}") && !text.endsWith("\r\n\r\n")) {
                            return;
                        }
                    }
                });
    }

    private String awaitRequest() throws InterruptedException {
        String request = mRequests.poll(10, TimeUnit.SECONDS);
        assertNotNull(request, "no request within 10 s");
        return request;
    }

    private HttpPlatformStore newStore(ScriptedServer server) {
        return new HttpPlatformStore(mGroup, server.address(), Optional.empty(), TIMEOUTS);
    }
}
