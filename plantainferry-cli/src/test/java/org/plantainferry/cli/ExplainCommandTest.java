package org.plantainferry.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against an explanation that omits a decision, or shows state learned after it. */
public final class ExplainCommandTest {
    private static final String FIRST_LOG =
            """
            2026-01-15T18:28:05.000Z INFO PF6001 started instance=como-1 domain=como callers=10:1
            2026-01-15T18:28:05.100Z INFO PF6101 configuration version=6 before=0
            2026-01-15T18:28:06.000Z INFO PF6105 server id=s1 service=ledger state=primary
            2026-01-15T18:28:06.000Z INFO PF6105 server id=s9 service=other state=primary
            2026-01-15T18:28:07.000Z WARN PF6103 store-lost feed=servers reason="no answer"
            2026-01-15T18:28:07.296Z INFO PF6304 request-retried request=r1 server=s2 attempt=1 \
            cause=BEHIND s2
            not a line of a gateway
            2026-01-15T18:28:07.396Z WARN PF6303 request-failed request=r1 server=s1 \
            outcome=may-have-run code=OUTCOME_UNKNOWN reason="the server closed the connection" \
            after-ms=100
            2026-01-15T18:28:08.000Z INFO PF6105 server id=s1 service=ledger state=gone
            """;
    private static final String SECOND_LOG =
            """
            2026-01-15T18:28:09.000Z INFO PF6302 request-refused request=r2 workspace=w code=BUSY \
            reason="the workspace has used up its rate and burst" configuration=6 \
            limit="rate=18.0 part=0.0653"
            """;

    private final CommandLineTester mTester = new CommandLineTester(new InMemoryStore());

    @Test
    public void showsDecisionsAndStateKnownBefore() {
        int exitCode =
                mTester.run(
                        "explain",
                        "r1",
                        CommandLineTester.writeFile(FIRST_LOG),
                        CommandLineTester.writeFile(SECOND_LOG));
        assertEquals(exitCode, 0, mTester.err());
        String out = mTester.out();
        assertTrue(out.contains("instance como-1"), out);
        assertTrue(out.contains("known for 2196 ms: PF6101 configuration version=6"), out);
        assertTrue(out.contains("known for 1296 ms: PF6105 server id=s1"), out);
        assertTrue(out.contains("known for 296 ms: PF6103 store-lost"), out);
        assertTrue(out.contains("after 0 ms: PF6304"), out);
        assertTrue(out.contains("after 100 ms: PF6303"), out);
        assertTrue(out.contains("It may have run"), out);
        assertFalse(out.contains("state=gone"), out);
        assertFalse(out.contains("s9"), out);
    }

    @Test
    public void showsWhyRequestWasRefused() {
        assertEquals(
                mTester.run("explain", "r2", CommandLineTester.writeFile(FIRST_LOG + SECOND_LOG)),
                0);
        assertTrue(mTester.out().contains("the workspace had used up its limit"));
    }

    @Test
    public void refusesRequestThatNoLogNames() {
        assertEquals(mTester.run("explain", "r3", CommandLineTester.writeFile(FIRST_LOG)), 1);
        assertTrue(mTester.err().contains("No log has a line about request r3"));
    }

    @Test
    public void reportsUnreadableFile() {
        assertEquals(mTester.run("explain", "r1", "/nowhere/gateway.log"), 2);
        assertEquals(mTester.run("explain", "r1"), 2);
        assertTrue(mTester.err().contains("at least one log file"), mTester.err());
    }

    private static final String LOST_PRIMARY_LOG =
            """
            2026-01-15T18:28:05.000Z INFO PF6001 started instance=como-1 domain=como callers=10:1
            2026-01-15T18:28:06.000Z WARN PF6115 store-restored epoch=3 before=2
            2026-01-15T18:28:06.500Z WARN PF6215 promotion-postponed service=ledger unanswered=[s2]
            2026-01-15T18:28:06.500Z WARN PF6215 promotion-postponed service=other unanswered=[s8]
            2026-01-15T18:28:07.000Z WARN PF6301 request-unplaced request=r5 purpose=WRITE \
            service=ledger reason="the primary is lost, and the replicas with all commits do not \
            answer"
            """;

    /** Guards against a refusal whose cause, a lost primary or a restored store, is not shown. */
    @Test
    public void showsARestoredStoreAndThePromotionThatWasPostponed() {
        assertEquals(
                mTester.run("explain", "r5", CommandLineTester.writeFile(LOST_PRIMARY_LOG)), 0);
        String out = mTester.out();
        assertTrue(out.contains("known for 1000 ms: PF6115 store-restored epoch=3"), out);
        assertTrue(out.contains("known for 500 ms: PF6215 promotion-postponed"), out);
        assertTrue(out.contains("no primary was available; see the replacement above"), out);
        assertFalse(out.contains("s8"), out);
    }

    private static final String SHORT_PROCESSOR_LOG =
            """
            2026-01-15T18:28:05.000Z INFO PF6001 started instance=como-1 domain=como callers=10:1
            2026-01-15T18:28:06.000Z WARN PF6340 processor-short thread=traffic delay-ms=259 \
            cpu-ms={CONTROL=240, TRAFFIC=60}
            2026-01-15T18:28:07.000Z INFO PF6302 request-refused request=r6 workspace=w code=BUSY \
            reason="this instance is short of processor time" configuration=6 limit=""
            """;

    /** Guards against a refusal for lack of processor time that reads like one of the operator. */
    @Test
    public void showsSinceWhenAnInstanceWasShortOfProcessorTime() {
        assertEquals(
                mTester.run("explain", "r6", CommandLineTester.writeFile(SHORT_PROCESSOR_LOG)), 0);
        String out = mTester.out();
        assertTrue(out.contains("known for 1000 ms: PF6340 processor-short thread=traffic"), out);
        assertTrue(out.contains("the instance had too little processor time"), out);
    }

    private static final String SHORT_ROOM_LOG =
            """
            2026-01-15T18:28:05.000Z INFO PF6001 started instance=como-1 domain=como callers=10:1
            2026-01-15T18:28:05.500Z INFO PF6105 server id=s1 service=ledger state=primary
            2026-01-15T18:28:05.500Z INFO PF6105 server id=s9 service=other state=primary
            2026-01-15T18:28:06.000Z INFO PF6320 server-capacity service=ledger server=s1 limit=4 \
            time-percent=400 wait-percent=900
            2026-01-15T18:28:06.100Z INFO PF6320 server-capacity service=other server=s9 limit=4 \
            time-percent=100 wait-percent=100
            2026-01-15T18:28:06.200Z INFO PF6310 statements-refused server=s1 early=40 displaced=2 \
            expired=0 waiting=31
            2026-01-15T18:28:07.000Z WARN PF6303 request-failed request=r3 server=s1 \
            outcome=not-run code=BUSY reason="BUSY s1; not retried: the servers have no room" \
            after-ms=12
            2026-01-15T18:28:10.000Z INFO PF6330 statements-waited priority=2 waited=300 \
            longest-ms=431 request=r4 workspace=w server=s1 refused=42 refused-request=r3 \
            reason="the servers have no room"
            2026-01-15T18:28:15.000Z INFO PF6330 statements-waited priority=2 waited=200 \
            longest-ms=400 request=r6 workspace=w server=s1 refused=7 refused-request=r5 \
            reason="the servers have no room"
            """;

    private String explain(String request) {
        assertEquals(
                mTester.run("explain", request, CommandLineTester.writeFile(SHORT_ROOM_LOG)),
                0,
                mTester.err());
        return mTester.out();
    }

    @Test
    public void showsTheRoomAtTheServerOfRequestThatWasNotSentAgain() {
        String out = explain("r3");
        assertTrue(out.contains("known for 1000 ms: PF6320 server-capacity service=ledger"), out);
        assertTrue(out.contains("known for 800 ms: PF6310 statements-refused server=s1"), out);
        assertTrue(out.contains("it was not sent again"), out);
        assertFalse(out.contains("service=other"), out);
    }

    @Test
    public void showsHowLongRequestWaitedAndWhere() {
        String out = explain("r4");
        assertTrue(out.contains("It waited 431 ms for server s1"), out);
        assertTrue(out.contains("priority 2"), out);
    }

    @Test
    public void showsThatRequestWasRefusedForLackOfRoom() {
        String out = explain("r5");
        assertTrue(out.contains("the servers had no room for it in time"), out);
        assertFalse(out.contains("It waited"), out);
    }
}
