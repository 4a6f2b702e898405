package org.plantainferry.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against an explanation that misses a decision, or shows beliefs of a later time. */
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
        int exit =
                mTester.run(
                        "explain",
                        "r1",
                        CommandLineTester.writeFile(FIRST_LOG),
                        CommandLineTester.writeFile(SECOND_LOG));
        assertEquals(exit, 0, mTester.err());
        String out = mTester.out();
        assertTrue(out.contains("instance como-1"), out);
        assertTrue(out.contains("believed for 2196 ms: PF6101 configuration version=6"), out);
        assertTrue(out.contains("believed for 1296 ms: PF6105 server id=s1"), out);
        assertTrue(out.contains("believed for 296 ms: PF6103 store-lost"), out);
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
}
