package org.plantainferry.verification.history;

import static org.plantainferry.verification.history.HistoryBuilder.ran;
import static org.plantainferry.verification.history.HistoryBuilder.refused;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Guards against checkers of reads, writes and transactions that pass a broken history. */
public class SessionCheckersTest {
    private static final Answer NOT_RUN = refused("NOT_RUN", "OVERLOADED", 5);
    private static final Answer UNKNOWN = refused("MAY_HAVE_RUN", "OUTCOME_UNKNOWN", 0);

    @Test
    public void findsReadThatMissesTheOwnWrite() {
        assertBroken(
                new ReadYourWritesChecker(),
                1,
                twoWrites().call(Operation.READ, "GET k", 5, 6, ran("k:1", 1, 1)));
        assertBroken(
                new ReadYourWritesChecker(),
                1,
                twoWrites().call(Operation.READ, "GET k", 5, 6, ran("", 1, 1)));
        assertBroken(
                new ReadYourWritesChecker(),
                0,
                twoWrites().call(Operation.READ, "GET k", 5, 6, ran("k:2", 1, 2)));
    }

    @Test
    public void findsReadThatMissesTheOwnCommit() {
        HistoryBuilder committed =
                new HistoryBuilder().call(Operation.COMMIT, "", 1, 2, ran("OK", 1, 7));
        assertBroken(
                new ReadYourWritesChecker(),
                0,
                committed.call(Operation.READ, "GET k", 3, 4, ran("", 1, 7)));
        assertBroken(
                new ReadYourWritesChecker(),
                1,
                committed.call(Operation.READ, "GET k", 5, 6, ran("", 1, 6)));
    }

    @Test
    public void findsReadsThatGoBack() {
        HistoryBuilder back = twoWrites().call(Operation.READ, "GET k", 5, 6, ran("k:2", 1, 2));
        assertBroken(new MonotonicReadsChecker(), 0, back);
        assertBroken(
                new MonotonicReadsChecker(),
                1,
                back.call(Operation.READ, "GET k", 7, 8, ran("k:1", 1, 2)));
        assertBroken(
                new MonotonicReadsChecker(),
                1,
                twoWrites().call(Operation.READ, "GET j", 5, 6, ran("", 1, 0)));
    }

    @Test
    public void findsWritesThatRanTwiceOrNeverOrInSpiteOfTheRefusal() {
        AtMostOnceChecker checker = new AtMostOnceChecker();
        assertBroken(checker, 0, twoWrites());
        assertBroken(checker, 1, twoWrites().entry(1, 3, "PUT k k:2"));
        assertBroken(
                checker, 1, twoWrites().call(Operation.WRITE, "PUT k k:3", 5, 6, ran("OK", 1, 3)));
        HistoryBuilder unknown = twoWrites().call(Operation.WRITE, "PUT k k:3", 5, 6, UNKNOWN);
        assertBroken(checker, 0, unknown);
        assertBroken(checker, 0, unknown.entry(1, 6, "PUT k k:3"));
        HistoryBuilder refused = twoWrites().call(Operation.WRITE, "PUT k k:3", 5, 6, NOT_RUN);
        assertBroken(checker, 0, refused);
        assertBroken(checker, 1, refused.entry(1, 6, "PUT k k:3"));
    }

    @Test
    public void findsAcknowledgedWritesAndReadValuesThatAreLost() {
        NoLostWriteChecker checker = new NoLostWriteChecker();
        assertBroken(checker, 0, twoWrites());
        assertBroken(
                checker, 1, twoWrites().call(Operation.WRITE, "PUT k k:3", 5, 6, ran("OK", 1, 3)));
        assertBroken(checker, 1, twoWrites().call(Operation.READ, "GET k", 5, 6, ran("k:9", 1, 2)));
    }

    @Test
    public void findsAcknowledgementsOfReplacedPrimaries() {
        ReplacedPrimaryChecker checker = new ReplacedPrimaryChecker();
        HistoryBuilder good = twoWrites().entry(2, 1_000, "TERM 2").entry(2, 1_010, "PUT k k:3");
        assertBroken(
                checker, 0, good.call(Operation.WRITE, "PUT k k:3", 1_005, 1_015, ran("OK", 2, 4)));
        assertBroken(
                checker, 1, good.call(Operation.WRITE, "PUT k k:4", 1_001, 1_002, ran("OK", 1, 2)));
        HistoryBuilder late = twoWrites().entry(2, 1_000, "TERM 2");
        assertBroken(
                checker, 1, late.call(Operation.WRITE, "PUT k k:4", 900, 1_300, ran("OK", 1, 2)));
        HistoryBuilder beyond = twoWrites().entry(2, 1_000, "TERM 2");
        assertBroken(
                checker, 1, beyond.call(Operation.WRITE, "PUT k k:4", 900, 950, ran("OK", 1, 3)));
    }

    @Test
    public void findsTransactionsThatAreSplitOrMixedOrIncomplete() {
        TransactionChecker checker = new TransactionChecker();
        assertBroken(checker, 0, transaction().entry(1, 9, "PUT a a:1", "PUT b b:1"));
        assertBroken(
                checker,
                2,
                transaction().entry(1, 9, "PUT a a:1").entry(1, 9, "PUT b b:1"),
                "split");
        assertBroken(checker, 1, transaction());
        HistoryBuilder mixed =
                transaction().call(Operation.WRITE, "PUT k k:1", 8, 9, ran("OK", 1, 1));
        assertBroken(checker, 1, mixed.entry(1, 9, "PUT a a:1", "PUT b b:1", "PUT k k:1"));
        HistoryBuilder open =
                new HistoryBuilder()
                        .inTransaction(
                                Operation.TRANSACTION_WRITE, "t2", "PUT a a:2", ran("OK", 1, 1));
        assertBroken(checker, 1, open.entry(1, 9, "PUT a a:2"));
    }

    @Test
    public void findsAnswersOfOtherRequests() {
        AnswerMatchChecker checker = new AnswerMatchChecker();
        assertBroken(checker, 0, twoWrites().call(Operation.READ, "GET k", 5, 6, ran("k:1", 1, 2)));
        assertBroken(checker, 1, twoWrites().call(Operation.READ, "GET k", 5, 6, ran("j:1", 1, 2)));
        assertBroken(
                checker,
                1,
                twoWrites().call(Operation.WRITE, "APPEND l ,l:1", 5, 6, ran(",l:0", 1, 3)));
        assertBroken(
                checker,
                0,
                twoWrites().call(Operation.WRITE, "APPEND l ,l:1", 5, 6, ran(",l:0,l:1", 1, 3)));
    }

    @Test
    public void recordsAreWrittenAsLines() throws java.io.IOException {
        java.nio.file.Path file = java.nio.file.Files.createTempFile("history", ".jsonl");
        try (HistoryRecorder recorder = new HistoryRecorder(file)) {
            twoWrites().build().calls().forEach(recorder::add);
            recorder.add(new HistoryEvent(1, HistoryEvent.Kind.STORE_OUT, "store", 0));
            assertEquals(
                    recorder.history(java.util.Map.of(), java.util.Map.of()).calls().size(), 2);
        }
        assertEquals(java.nio.file.Files.readAllLines(file).size(), 3);
    }

    private static HistoryBuilder twoWrites() {
        return new HistoryBuilder()
                .entry(1, 1, "PUT k k:1")
                .entry(1, 3, "PUT k k:2")
                .call(Operation.WRITE, "PUT k k:1", 1, 2, ran("OK", 1, 1))
                .call(Operation.WRITE, "PUT k k:2", 3, 4, ran("OK", 1, 2));
    }

    private static HistoryBuilder transaction() {
        return new HistoryBuilder()
                .inTransaction(Operation.TRANSACTION_WRITE, "t1", "PUT a a:1", ran("OK", 1, 1))
                .inTransaction(Operation.TRANSACTION_WRITE, "t1", "PUT b b:1", ran("OK", 1, 1))
                .inTransaction(Operation.COMMIT, "t1", "", ran("OK", 1, 1));
    }

    static void assertBroken(Checker checker, int count, HistoryBuilder history) {
        assertBroken(checker, count, history, checker.name());
    }

    private static void assertBroken(
            Checker checker, int least, HistoryBuilder history, String what) {
        List<String> broken = checker.check(history.build());
        if (least == 0) {
            assertEquals(broken, List.of(), what);
        } else {
            assertEquals(broken.size() >= least, true, what + " " + broken);
        }
    }

    static HistoryBuilder withOutcome(Outcome outcome, long start, long end) {
        return new HistoryBuilder()
                .call(Operation.READ, "", "GET k", start, end, outcome, Optional.empty());
    }
}
