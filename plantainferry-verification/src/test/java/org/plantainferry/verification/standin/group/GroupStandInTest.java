package org.plantainferry.verification.standin.group;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.plantainferry.verification.standin.SingleConnectionHttpClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the protocol of a database server over TCP. */
public final class GroupStandInTest {
    private static final String ADD_BODY =
            "{\"kind\":\"write\",\"statement\":\"ADD k 1\",\"term\":%d,\"requestId\":\"%s\"}";
    private static final String READ_BODY =
            "{\"kind\":\"read\",\"statement\":\"GET k\",\"term\":1,\"minimumPosition\":%d}";

    private GroupStandIn mGroup;

    @BeforeMethod
    public void startGroup() {
        List<GroupSettings.Server> servers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            servers.add(new GroupSettings.Server("s" + i, "127.0.0.1:0"));
        }
        mGroup =
                new GroupStandIn(
                        new GroupSettings(
                                "ledger",
                                "127.0.0.1:0",
                                servers,
                                Optional.of(1),
                                Optional.of(1),
                                Optional.of(4),
                                Optional.of(30L),
                                Optional.empty(),
                                Optional.empty(),
                                Optional.of(300L),
                                Optional.of(List.of("caller-key"))));
    }

    @AfterMethod
    public void stopGroup() {
        mGroup.close();
    }

    /** Guards against double effects of a request that is sent again, also to a new primary. */
    @Test
    public void runsRetriedRequestOnce() throws IOException {
        assertEquals(post("s1", "/statement", String.format(ADD_BODY, 1, "r1")).status(), 200);
        mGroup.setLagMillis("s2", 0);
        SingleConnectionHttpClient.Response repeated =
                post("s1", "/statement", String.format(ADD_BODY, 1, "r1"));
        assertEquals(repeated.json().get("position").asLong(), 1);
        replacePrimary(2, "s2", "s3");
        SingleConnectionHttpClient.Response answer =
                post("s2", "/statement", String.format(ADD_BODY, 2, "r1"));
        assertEquals(answer.json().get("result").asText(), "1");
        assertEquals(answer.json().get("position").asLong(), 1);
        answer = post("s2", "/statement", String.format(ADD_BODY, 2, "r2"));
        assertEquals(answer.json().get("result").asText(), "2");
    }

    /** Guards against stale reads at a replica that has not reached the caller's position. */
    @Test
    public void answersBehindUntilReplicaHasThePosition() throws Exception {
        mGroup.setLagMillis("s3", 400);
        post("s1", "/statement", String.format(ADD_BODY, 1, "r1"));
        SingleConnectionHttpClient.Response behind =
                post("s3", "/statement", String.format(READ_BODY, 1));
        assertEquals(behind.status(), 409);
        assertEquals(behind.json().get("error").asText(), "behind");
        assertEquals(behind.json().get("position").asLong(), 0);
        TimeUnit.MILLISECONDS.sleep(600);
        SingleConnectionHttpClient.Response read =
                post("s3", "/statement", String.format(READ_BODY, 1));
        assertEquals(read.json().get("result").asText(), "1");
        assertEquals(read.json().get("role").asText(), "replica");
        assertTrue(read.json().get("lagMillis").asLong() >= 400, read.body());
    }

    /** Guards against acknowledging a write that only a cut-off primary has. */
    @Test
    public void reportsWriteOfCutOffPrimaryAsUnconfirmed() throws Exception {
        mGroup.setCut("s1", "s2", true);
        mGroup.setCut("s1", "s3", true);
        SingleConnectionHttpClient.Response answer =
                post("s1", "/statement", String.format(ADD_BODY, 1, "r1"));
        assertEquals(answer.status(), 504);
        assertEquals(answer.json().get("error").asText(), "unconfirmed");
        assertEquals(post("s1", "/statement", String.format(READ_BODY, 0)).status(), 504);
        replacePrimary(2, "s2", "s3");
        mGroup.setCut("s1", "s2", false);
        SingleConnectionHttpClient.Response repeat =
                post("s2", "/statement", String.format(ADD_BODY, 2, "r1"));
        assertEquals(repeat.json().get("result").asText(), "1", "it had not run there");
        TimeUnit.MILLISECONDS.sleep(200);
        assertEquals(mGroup.log("s1"), mGroup.log("s2"));
    }

    /** Guards against a write that is acknowledged, or waits on, after its server was fenced. */
    @Test
    public void endsPendingWriteWhenServerIsFenced() throws Exception {
        mGroup.setLagMillis("s2", 10_000);
        mGroup.setLagMillis("s3", 10_000);
        CompletableFuture<SingleConnectionHttpClient.Response> waiting =
                CompletableFuture.supplyAsync(
                        () -> uncheckedPost("s1", "/statement", String.format(ADD_BODY, 1, "r1")));
        TimeUnit.MILLISECONDS.sleep(150);
        assertFalse(waiting.isDone());
        assertEquals(fence("s1", 2, "p").status(), 200);
        assertEquals(waiting.get(100, TimeUnit.MILLISECONDS).status(), 504);
        SingleConnectionHttpClient.Response refused =
                post("s1", "/statement", String.format(ADD_BODY, 1, "r2"));
        assertEquals(refused.json().get("error").asText(), "stale_term");
        assertEquals(refused.json().get("term").asLong(), 2);
        refused = post("s1", "/statement", String.format(ADD_BODY, 2, "r2"));
        assertEquals(refused.json().get("error").asText(), "not_primary");
    }

    /** Guards against a second grant of one term over the network. */
    @Test
    public void refusesSecondProposerOfATerm() throws IOException {
        assertEquals(fence("s2", 2, "p1").json().get("granted").asBoolean(), true);
        SingleConnectionHttpClient.Response refused = fence("s2", 2, "p2");
        assertEquals(refused.status(), 409);
        assertEquals(refused.json().get("proposer").asText(), "p1");
    }

    /** Guards against changes of a transaction that show before its commit or after its end. */
    @Test
    public void keepsTransactionOnItsConnection() throws Exception {
        try (SingleConnectionHttpClient owner = connect("s1")) {
            assertEquals(owner.post("/begin", "{\"term\":1}").status(), 200);
            assertEquals(statement(owner, "write", "ADD k 5"), "5");
            assertEquals(statement(owner, "read", "GET k"), "5");
            SingleConnectionHttpClient.Response other =
                    post("s1", "/statement", String.format(READ_BODY, 0));
            assertTrue(other.json().get("result").isNull(), "uncommitted data is visible");
            statement(owner, "write", "APPEND names x y");
            assertEquals(owner.post("/commit", "{\"term\":1,\"requestId\":\"c\"}").status(), 200);
        }
        assertEquals(mGroup.log("s1").size(), 1, "a commit is one entry");
        assertEquals(mGroup.log("s1").get(0).statement(), "ADD k 5; APPEND names x y");
        try (SingleConnectionHttpClient owner = connect("s1")) {
            owner.post("/begin", "{\"term\":1}");
            statement(owner, "write", "ADD k 5");
        }
        SingleConnectionHttpClient.Response later = post("s1", "/commit", "{\"term\":1}");
        assertEquals(later.status(), 400, "the transaction ended with its connection");
        later = post("s1", "/commit", "{\"term\":1,\"requestId\":\"c\"}");
        assertEquals(later.status(), 200, "a repeated commit is answered from its entry");
        assertEquals(mGroup.log("s1").size(), 1);
    }

    /** Guards against callers' keys that reach a target unnoticed. */
    @Test
    public void refusesAndRecordsCallerKeys() throws IOException {
        try (SingleConnectionHttpClient probe = connect("s1")) {
            String headers = "Request-Number: 9\r\nAuthorization: Bearer x\r\n";
            SingleConnectionHttpClient.Response refused = probe.call("GET", "/state", headers, "");
            assertEquals(refused.status(), 400);
            assertEquals(refused.headers().get("request-number"), "9");
        }
        assertEquals(post("s1", "/statement", "caller-key").status(), 400);
        assertEquals(mGroup.violationCount(), 2);
        assertEquals(post("s1", "/statement", "{}").status(), 400);
        assertEquals(post("s1", "/statement", "{\"kind\":\"read\"}").status(), 400);
        assertEquals(mGroup.violationCount(), 2, "a malformed request is no violation");
    }

    /** Guards against new work at a leaving server that goes uncounted. */
    @Test
    public void refusesNewWorkWhileLeavingButFinishesTransactions() throws IOException {
        try (SingleConnectionHttpClient owner = connect("s1")) {
            owner.post("/begin", "{\"term\":1}");
            mGroup.setLeaving("s1", true);
            assertEquals(statement(owner, "write", "ADD k 5"), "5");
            assertEquals(owner.post("/commit", "{\"term\":1}").status(), 200);
        }
        SingleConnectionHttpClient.Response refused =
                post("s1", "/statement", String.format(ADD_BODY, 1, "r"));
        assertEquals(refused.json().get("error").asText(), "leaving");
        assertEquals(mGroup.counters().leaving().get(0).newWork(), 1);
    }

    /** Guards against unbounded queues and connections, and free connection openings. */
    @Test
    public void limitsSlotsAndConnections() throws Exception {
        String sleep = "{\"kind\":\"read\",\"statement\":\"SLEEP 400\"}";
        List<CompletableFuture<SingleConnectionHttpClient.Response>> sleeping = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            sleeping.add(
                    CompletableFuture.supplyAsync(() -> uncheckedPost("s1", "/statement", sleep)));
        }
        TimeUnit.MILLISECONDS.sleep(150);
        SingleConnectionHttpClient.Response busy = post("s1", "/statement", sleep);
        assertEquals(busy.json().get("error").asText(), "busy");
        for (CompletableFuture<SingleConnectionHttpClient.Response> answer : sleeping) {
            assertEquals(answer.get().status(), 200);
        }
        List<SingleConnectionHttpClient> probes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            probes.add(connect("s2"));
            TimeUnit.MILLISECONDS.sleep(20);
        }
        long start = System.nanoTime();
        assertEquals(probes.get(0).get("/state").status(), 200);
        assertTrue(System.nanoTime() - start >= 30_000_000, "the first answer came too early");
        SingleConnectionHttpClient.Response refused = probes.get(4).get("/state");
        assertEquals(refused.status(), 503);
        assertEquals(refused.json().get("error").asText(), "too_many_connections");
        assertEquals(mGroup.peakConnections("s2"), 5);
        for (SingleConnectionHttpClient probe : probes) {
            probe.close();
        }
    }

    /** Guards against a lost answer that takes the write with it. */
    @Test
    public void keepsWriteWhoseAnswerIsLost() throws IOException {
        mGroup.loseAnswers("s1", 1);
        String add = String.format(ADD_BODY, 1, "r1");
        assertThrows(IOException.class, () -> post("s1", "/statement", add));
        assertEquals(mGroup.log("s1").size(), 1);
        assertEquals(post("s1", "/statement", add).json().get("result").asText(), "1");
    }

    /** Guards against a promotion of the wrong server that loses confirmed writes unnoticed. */
    @Test
    public void reportsPromotionThatLosesConfirmedWrites() throws Exception {
        mGroup.setCut("s1", "s3", true);
        post("s1", "/statement", String.format(ADD_BODY, 1, "r1"));
        TimeUnit.MILLISECONDS.sleep(100);
        replacePrimary(2, "s3", "s2");
        TimeUnit.MILLISECONDS.sleep(200);
        assertEquals(
                mGroup.replicationFailure(),
                Optional.of("s2 would lose confirmed entries after 0"));
    }

    /** Guards against probes of a frozen server that use up the threads of the other servers. */
    @Test
    public void servesOtherServersWhileRequestsToFrozenServerHang() throws Exception {
        mGroup.setFrozen("s2", true);
        List<SingleConnectionHttpClient> hanging = new ArrayList<>();
        for (int i = 0; i < 600; i++) {
            SingleConnectionHttpClient probe =
                    new SingleConnectionHttpClient(mGroup.address("s2"), "127.0.0.1", 1);
            hanging.add(probe);
            assertThrows(SocketTimeoutException.class, () -> probe.get("/state"));
        }
        assertEquals(post("s1", "/statement", String.format(ADD_BODY, 1, "r1")).status(), 200);
        mGroup.setFrozen("s2", false);
        for (SingleConnectionHttpClient probe : hanging) {
            probe.close();
        }
        TimeUnit.MILLISECONDS.sleep(300);
        assertEquals(connect("s2").get("/state").status(), 200);
    }

    /** Guards against faults that a test orders and that do not happen. */
    @Test
    public void holdsAnswersWhileFrozenAndClosesConnectionsWhenStopped() throws Exception {
        try (SingleConnectionHttpClient caller =
                new SingleConnectionHttpClient(mGroup.address("s2"), "127.0.0.77", 200)) {
            assertEquals(caller.get("/state").status(), 200);
            mGroup.cutSource("s2", "127.0.0.77");
            assertThrows(SocketTimeoutException.class, () -> caller.get("/state"));
            assertEquals(connect("s2").get("/state").status(), 200, "others are not cut off");
        }
        mGroup.healSource("s2", "127.0.0.77");
        mGroup.setFrozen("s2", true);
        try (SingleConnectionHttpClient caller =
                new SingleConnectionHttpClient(mGroup.address("s2"), "127.0.0.1", 200)) {
            assertThrows(SocketTimeoutException.class, () -> caller.get("/state"));
        }
        mGroup.setFrozen("s2", false);
        try (SingleConnectionHttpClient idle = connect("s1")) {
            mGroup.stop("s1");
            assertThrows(IOException.class, () -> idle.get("/state"));
        }
        mGroup.start("s1");
        assertEquals(connect("s1").get("/state").json().get("role").asText(), "none");
    }

    private void replacePrimary(long term, String winner, String other) throws IOException {
        assertEquals(fence(winner, term, "p").status(), 200);
        assertEquals(fence(other, term, "p").status(), 200);
        String body = "{\"term\":" + term + ",\"proposer\":\"p\"}";
        assertEquals(post(winner, "/promote", body).status(), 200);
    }

    private SingleConnectionHttpClient.Response fence(String server, long term, String proposer)
            throws IOException {
        return post(server, "/fence", "{\"term\":" + term + ",\"proposer\":\"" + proposer + "\"}");
    }

    private static String statement(SingleConnectionHttpClient probe, String kind, String text)
            throws IOException {
        String body = "{\"kind\":\"" + kind + "\",\"statement\":\"" + text + "\",\"term\":1}";
        return probe.post("/statement", body).json().get("result").asText();
    }

    private SingleConnectionHttpClient.Response post(String server, String path, String body)
            throws IOException {
        try (SingleConnectionHttpClient probe = connect(server)) {
            return probe.post(path, body);
        }
    }

    private SingleConnectionHttpClient.Response uncheckedPost(
            String server, String path, String body) {
        try {
            return post(server, path, body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private SingleConnectionHttpClient connect(String server) throws IOException {
        return new SingleConnectionHttpClient(mGroup.address(server));
    }
}
