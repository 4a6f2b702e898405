package org.plantainferry.network.target;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Optional;
import java.util.Random;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServerRole;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that servers misread, and answers that are read as more than they say.
 */
public class TargetProtocolTest {
    private static final String RESULT =
            "{\"result\":{\"v\":1},\"term\":3,\"position\":7,\"lagMillis\":0,\"role\":\"primary\"}";

    /** Guards against properties that are missing from a request or stand in it as null. */
    @Test
    public void writesRequests() {
        assertEquals(
                TargetProtocol.statement(StatementKind.READ, "GET a", 3, 7, Optional.empty())
                        .body()
                        .orElseThrow(),
                "{\"kind\":\"read\",\"statement\":\"GET a\",\"term\":3,\"minimumPosition\":7}");
        assertEquals(
                TargetProtocol.commit(3, Optional.of("w/1")).body().orElseThrow(),
                "{\"term\":3,\"requestId\":\"w/1\"}");
        assertEquals(
                TargetProtocol.fence(4, "i1").body().orElseThrow(),
                "{\"term\":4,\"proposer\":\"i1\"}");
    }

    /** Guards against results that lose their position or accept no new property. */
    @Test
    public void readsResult() {
        String extended = RESULT.replace("{\"result\"", "{\"new\":[1],\"result\"");
        for (String body : new String[] {RESULT, extended}) {
            StatementResult result =
                    (StatementResult)
                            TargetProtocol.readStatementAnswer(new TargetResponse(200, body));
            assertEquals(result.result().toString(), "{\"v\":1}");
            assertEquals(result.logPosition().position(), 7);
            assertEquals(result.role(), ServerRole.PRIMARY);
        }
    }

    /** Lists answers that are no results, with the reason that each must have. */
    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {
            {409, "{\"error\":\"stale_term\",\"term\":9,\"position\":1}", RefusalReason.STALE_TERM},
            {409, "{\"error\":\"not_primary\",\"term\":9}", RefusalReason.NOT_PRIMARY},
            {409, "{\"error\":\"behind\"}", RefusalReason.BEHIND},
            {409, "{\"error\":\"leaving\"}", RefusalReason.LEAVING},
            {503, "{\"error\":\"busy\"}", RefusalReason.BUSY},
            {503, "{\"error\":\"too_many_connections\"}", RefusalReason.TOO_MANY_CONNECTIONS},
            {504, "{\"error\":\"unconfirmed\",\"term\":9}", RefusalReason.UNCONFIRMED},
            {400, "{\"error\":\"bad_statement\",\"message\":\"no\"}", RefusalReason.BAD_STATEMENT},
            {504, "{\"error\":\"busy\"}", RefusalReason.UNREADABLE},
            {503, "{\"error\":\"unconfirmed\"}", RefusalReason.UNREADABLE},
            {503, "", RefusalReason.UNREADABLE},
            {409, "null", RefusalReason.UNREADABLE},
            {500, "{\"error\":\"\"}", RefusalReason.UNREADABLE},
            {200, "{\"result\":1,\"position\":7,\"role\":\"primary\"}", RefusalReason.UNREADABLE},
            {200, RESULT.replace("primary", "king"), RefusalReason.UNREADABLE},
            {200, RESULT.replace("7", "-7"), RefusalReason.UNREADABLE}
        };
    }

    /** Guards against "not run" for an answer that the protocol does not list as such. */
    @Test(dataProvider = "refusals")
    public void readsRefusal(int status, String body, RefusalReason reason) {
        TargetRefusal refusal =
                (TargetRefusal)
                        TargetProtocol.readStatementAnswer(new TargetResponse(status, body));
        assertEquals(refusal.reason(), reason);
        if (reason == RefusalReason.UNREADABLE || reason == RefusalReason.UNCONFIRMED) {
            assertEquals(refusal.verdict(), Verdict.MAY_HAVE_RUN);
        } else {
            assertEquals(refusal.verdict(), Verdict.NOT_RUN);
        }
        boolean named = body.contains("\"term\"") && reason != RefusalReason.UNREADABLE;
        assertEquals(refusal.term().isPresent(), named);
    }

    /** Guards against a state whose unknown ages count as no age, or without its term. */
    @Test
    public void readsState() {
        String body =
                "{\"server\":\"s1\",\"group\":\"ledger\",\"role\":\"none\",\"term\":2,"
                        + "\"termStart\":1,\"position\":5,\"confirmedPosition\":4,"
                        + "\"primaryContactAgeMillis\":-1,\"lagMillis\":null,\"leaving\":false,"
                        + "\"slots\":3,\"connectionLimit\":50}";
        ServerState state = TargetProtocol.readState(new TargetResponse(200, body));
        assertEquals(state.primaryContactAgeMillis(), Optional.empty());
        assertEquals(state.lagMillis(), Optional.empty());
        TargetResponse withoutTerm = new TargetResponse(200, body.replace("\"term\":2,", ""));
        expectThrows(PlantainferryException.class, () -> TargetProtocol.readState(withoutTerm));
    }

    /** Guards against a fencing answer that counts as a grant without saying so twice. */
    @Test
    public void readsFenceAndPromotion() {
        assertTrue(readFence(200, "{\"granted\":true,\"lastTerm\":1,\"position\":5}").granted());
        assertFalse(readFence(409, "{\"granted\":false,\"term\":4,\"proposer\":\"i2\"}").granted());
        String[] bodies = {"{\"granted\":false}", "{}", "{\"granted\":true}", "null"};
        for (String body : bodies) {
            expectThrows(PlantainferryException.class, () -> readFence(200, body));
        }
        expectThrows(PlantainferryException.class, () -> readFence(409, "{\"granted\":true}"));
        TargetResponse promoted = new TargetResponse(200, "{\"term\":4,\"position\":5}");
        assertEquals(TargetProtocol.readPromotionResult(promoted).position(), Optional.of(5L));
        assertFalse(TargetProtocol.readPromotionResult(new TargetResponse(409, "x")).promoted());
    }

    /** Guards against damaged answers that throw anything but the documented exception. */
    @Test
    public void damagedBodiesNeverCountAsNotRun() {
        long seed = new Random().nextLong();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        for (int round = 0; round < 2_000; round++) {
            StringBuilder body = new StringBuilder(RESULT);
            for (int flips = 1 + random.nextInt(3); flips > 0; flips--) {
                body.setCharAt(random.nextInt(body.length()), (char) random.nextInt(0x100));
            }
            TargetResponse response = new TargetResponse(200, body.toString());
            StatementAnswer answer = TargetProtocol.readStatementAnswer(response);
            if (answer instanceof TargetRefusal refusal) {
                assertEquals(refusal.verdict(), Verdict.MAY_HAVE_RUN, "seed " + seed);
            }
            expectThrows(
                    PlantainferryException.class, () -> TargetProtocol.readFenceResult(response));
        }
    }

    private static FenceResult readFence(int status, String body) {
        return TargetProtocol.readFenceResult(new TargetResponse(status, body));
    }
}
