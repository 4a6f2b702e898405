package org.plantainferry.verification.standin.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.verification.standin.SingleConnectionHttpClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the protocol of the store over TCP. */
public final class StoreStandInTest {
    private static final String CONFIGURATION_PATH = "/objects/configuration/current";
    private static final String IF_ABSENT = "If-None-Match: *\r\n";
    private static final String INSTANCE_RECORD =
            "{\"id\":\"i1\",\"failureDomain\":\"como-a\",\"peerAddress\":\"127.0.1.1:1\","
                    + "\"callerAddress\":\"127.0.1.1:2\",\"operatorAddress\":\"127.0.1.1:3\","
                    + "\"state\":\"live\"}";

    private StoreStandIn mStore;

    @BeforeMethod
    public void startStore() {
        mStore = new StoreStandIn(new InetSocketAddress("127.0.0.1", 0));
    }

    @AfterMethod
    public void stopStore() {
        mStore.close();
    }

    /** Guards against two writers who both believe that their conditional update won. */
    @Test
    public void changesObjectOnlyWhenConditionHolds() throws IOException {
        assertEquals(call("GET", CONFIGURATION_PATH, "", "").status(), 404);
        assertEquals(call("PUT", CONFIGURATION_PATH, "If-Match: \"1\"\r\n", "x").status(), 412);
        assertEquals(
                call("PUT", CONFIGURATION_PATH, IF_ABSENT, "a").headers().get("etag"), "\"1\"");
        assertEquals(call("PUT", CONFIGURATION_PATH, IF_ABSENT, "b").status(), 412);
        assertEquals(call("PUT", CONFIGURATION_PATH, "If-Match: \"1\"\r\n", "b").status(), 200);
        assertEquals(call("PUT", CONFIGURATION_PATH, "If-Match: \"1\"\r\n", "c").status(), 412);
        assertEquals(call("GET", CONFIGURATION_PATH, "", "").body(), "b");
        assertEquals(call("DELETE", CONFIGURATION_PATH, "If-Match: \"1\"\r\n", "").status(), 412);
        assertEquals(call("DELETE", CONFIGURATION_PATH, "If-Match: \"2\"\r\n", "").status(), 200);
        assertEquals(call("DELETE", CONFIGURATION_PATH, "", "").status(), 404);
        SingleConnectionHttpClient.Response created =
                call("PUT", CONFIGURATION_PATH, IF_ABSENT, "a");
        assertEquals(created.headers().get("etag"), "\"4\"", "a version is never used twice");
    }

    /** Guards against a lost answer that takes the change with it. */
    @Test
    public void keepsChangeWhoseAnswerIsLost() throws IOException {
        mStore.loseAnswers(1);
        assertThrows(IOException.class, () -> call("PUT", CONFIGURATION_PATH, IF_ABSENT, "a"));
        assertEquals(call("GET", CONFIGURATION_PATH, "", "").body(), "a");
        assertEquals(call("PUT", CONFIGURATION_PATH, "If-Match: \"1\"\r\n", "b").status(), 200);
    }

    /** Guards against watches that miss a change or answer one of another prefix. */
    @Test
    public void answersWatchWhenObjectWithPrefixChanges() throws Exception {
        CompletableFuture<SingleConnectionHttpClient.Response> watch =
                CompletableFuture.supplyAsync(() -> watch("prefix=slots/&after=0&waitMillis=5000"));
        awaitWatch();
        call("PUT", CONFIGURATION_PATH, "", "a");
        TimeUnit.MILLISECONDS.sleep(100);
        assertEquals(watch.isDone(), false);
        call("PUT", "/objects/slots/como-a", "", "s");
        String expected =
                "{\"revision\":2,\"objects\":"
                        + "[{\"path\":\"slots/como-a\",\"version\":2,\"value\":\"s\"}]}";
        assertEquals(watch.get(1, TimeUnit.SECONDS).body(), expected);
        call("DELETE", "/objects/slots/como-a", "", "");
        assertEquals(
                watch("prefix=slots/&after=2&waitMillis=5000").body(),
                expected.replace("n\":2", "n\":3").replace("\"s\"", "null"));
        SingleConnectionHttpClient.Response empty = watch("prefix=slots/&after=3&waitMillis=50");
        assertEquals(empty.body(), "{\"revision\":3,\"objects\":[]}");
        SingleConnectionHttpClient.Response list = call("GET", "/list?prefix=", "", "");
        assertEquals(list.json().get("objects").size(), 1, "a removed object is not listed");
    }

    /** Guards against calls or watches that get through during an outage. */
    @Test
    public void refusesCallsAndWatchesDuringOutage() throws Exception {
        CompletableFuture<SingleConnectionHttpClient.Response> watch =
                CompletableFuture.supplyAsync(() -> watch("prefix=&after=0&waitMillis=5000"));
        awaitWatch();
        mStore.setOutage(true);
        assertEquals(watch.get(1, TimeUnit.SECONDS).status(), 503);
        assertEquals(call("PUT", CONFIGURATION_PATH, IF_ABSENT, "a").status(), 503);
        assertEquals(call("GET", "/instances", "", "").status(), 503);
        mStore.setOutage(false);
        assertEquals(call("GET", CONFIGURATION_PATH, "", "").status(), 404);
    }

    /** Guards against a cut that lets a source through or hits another one. */
    @Test
    public void closesConnectionsOfCutSource() throws IOException {
        try (SingleConnectionHttpClient probe =
                new SingleConnectionHttpClient(mStore.address(), "127.0.0.66", 1_000)) {
            assertEquals(probe.get("/list?prefix=").status(), 200);
            mStore.cut("127.0.0.66");
            assertThrows(IOException.class, () -> probe.get("/list?prefix="));
        }
        try (SingleConnectionHttpClient probe =
                new SingleConnectionHttpClient(mStore.address(), "127.0.0.66", 1_000)) {
            assertThrows(IOException.class, () -> probe.get("/list?prefix="));
        }
        assertEquals(call("GET", "/list?prefix=", "", "").status(), 200);
        mStore.heal("127.0.0.66");
        try (SingleConnectionHttpClient probe =
                new SingleConnectionHttpClient(mStore.address(), "127.0.0.66", 1_000)) {
            assertEquals(probe.get("/list?prefix=").status(), 200);
        }
    }

    /** Guards against values above 1 MB and against a limit below it. */
    @Test
    public void refusesValuesOverOneMegabyte() throws IOException {
        String largest = "v".repeat(1024 * 1024);
        assertEquals(call("PUT", CONFIGURATION_PATH, "", largest).status(), 200);
        assertEquals(call("GET", CONFIGURATION_PATH, "", "").body().length(), largest.length());
        assertEquals(call("PUT", CONFIGURATION_PATH, "", largest + "v").status(), 413);
    }

    /** Guards against a connection that ends while the client still sends its large value. */
    @Test
    public void answersClientsThatSendOversizedValues() throws IOException {
        String large = "v".repeat(1536 * 1024);
        for (int round = 0; round < 20; round++) {
            assertEquals(call("PUT", CONFIGURATION_PATH, "", large).status(), 413);
        }
    }

    /** Guards against a list that shows changes at once, unlike the platform's. */
    @Test
    public void listsInstanceChangesAfterLag() throws Exception {
        mStore.setListLagMillis(300);
        assertEquals(call("POST", "/control/put-instance", "", INSTANCE_RECORD).status(), 200);
        assertEquals(call("GET", "/instances", "", "").body(), "{\"instances\":[]}");
        TimeUnit.MILLISECONDS.sleep(400);
        assertEquals(
                call("GET", "/instances", "", "").body(),
                "{\"instances\":[" + INSTANCE_RECORD + "]}");
        call("POST", "/control/delete-instance?id=i1", "", "");
        assertEquals(
                call("GET", "/instances", "", "").body(),
                "{\"instances\":[" + INSTANCE_RECORD + "]}");
    }

    /** Guards against latency or counts that tests rely on and that are not there. */
    @Test
    public void addsLatencyAndCountsCalls() throws IOException {
        assertEquals(call("POST", "/control/latency?millis=100", "", "").status(), 200);
        long start = System.nanoTime();
        call("PUT", CONFIGURATION_PATH, "", "a");
        assertTrue(System.nanoTime() - start >= 100_000_000);
        call("GET", CONFIGURATION_PATH, "", "");
        watch("prefix=&after=0&waitMillis=1");
        SingleConnectionHttpClient.Response counts = call("GET", "/control/counts", "", "");
        assertTrue(
                counts.body().startsWith("{\"reads\":1,\"writes\":1,\"watches\":1,"),
                counts.body());
    }

    private void awaitWatch() throws InterruptedException {
        while (mStore.waitingWatches() == 0) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private SingleConnectionHttpClient.Response watch(String query) {
        try {
            return call("GET", "/watch?" + query, "", "");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private SingleConnectionHttpClient.Response call(
            String method, String path, String headers, String body) throws IOException {
        try (SingleConnectionHttpClient probe = new SingleConnectionHttpClient(mStore.address())) {
            return probe.call(method, path, headers, body);
        }
    }
}
