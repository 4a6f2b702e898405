package org.plantainferry.verification.history;

import static org.plantainferry.verification.history.HistoryBuilder.refused;
import static org.plantainferry.verification.history.HistoryBuilder.succeeded;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Guards against checkers of reads, writes and transactions that pass a broken history. */
public class SessionCheckersTest {
    private static final Answer NOT_RUN = refused("NOT_RUN", "OVERLOADED", 5);
    private static final Answer OUTCOME_UNKNOWN = refused("MAY_HAVE_RUN", "OUTCOME_UNKNOWN", 0);

    @Test
    public void findsReadThatMissesOwnWrite() {
        assertViolations(
                new ReadYourWritesChecker(),
                1,
                withTwoWrites().call(Operation.READ, "GET k", 5, 6, succeeded("k:1", 1, 1)));
        assertViolations(
                new ReadYourWritesChecker(),
                1,
                withTwoWrites().call(Operation.READ, "GET k", 5, 6, succeeded("", 1, 1)));
        assertViolations(
                new ReadYourWritesChecker(),
                0,
                withTwoWrites().call(Operation.READ, "GET k", 5, 6, succeeded("k:2", 1, 2)));
    }

    @Test
    public void findsReadThatMissesOwnCommit() {
        HistoryBuilder committed =
                new HistoryBuilder().call(Operation.COMMIT, "", 1, 2, succeeded("OK", 1, 7));
        assertViolations(
                new ReadYourWritesChecker(),
                0,
                committed.call(Operation.READ, "GET k", 3, 4, succeeded("", 1, 7)));
        assertViolations(
                new ReadYourWritesChecker(),
                1,
                committed.call(Operation.READ, "GET k", 5, 6, succeeded("", 1, 6)));
    }

    @Test
    public void findsNonMonotonicReads() {
        HistoryBuilder back =
                withTwoWrites().call(Operation.READ, "GET k", 5, 6, succeeded("k:2", 1, 2));
        assertViolations(new MonotonicReadsChecker(), 0, back);
        assertViolations(
                new MonotonicReadsChecker(),
                1,
                back.call(Operation.READ, "GET k", 7, 8, succeeded("k:1", 1, 2)));
        assertViolations(
                new MonotonicReadsChecker(),
                1,
                withTwoWrites().call(Operation.READ, "GET j", 5, 6, succeeded("", 1, 0)));
    }

    @Test
    public void findsWritesThatRanTwiceOrNeverOrDespiteRefusal() {
        AtMostOnceChecker checker = new AtMostOnceChecker();
        assertViolations(checker, 0, withTwoWrites());
        assertViolations(checker, 1, withTwoWrites().logEntry(1, 3, "PUT k k:2"));
        assertViolations(
                checker,
                1,
                withTwoWrites().call(Operation.WRITE, "PUT k k:3", 5, 6, succeeded("OK", 1, 3)));
        HistoryBuilder unknown =
                withTwoWrites().call(Operation.WRITE, "PUT k k:3", 5, 6, OUTCOME_UNKNOWN);
        assertViolations(checker, 0, unknown);
        assertViolations(checker, 0, unknown.logEntry(1, 6, "PUT k k:3"));
        HistoryBuilder refused = withTwoWrites().call(Operation.WRITE, "PUT k k:3", 5, 6, NOT_RUN);
        assertViolations(checker, 0, refused);
        assertViolations(checker, 1, refused.logEntry(1, 6, "PUT k k:3"));
    }

    @Test
    public void findsLostAcknowledgedWritesAndLostReadValues() {
        NoLostWriteChecker checker = new NoLostWriteChecker();
        assertViolations(checker, 0, withTwoWrites());
        assertViolations(
                checker,
                1,
                withTwoWrites().call(Operation.WRITE, "PUT k k:3", 5, 6, succeeded("OK", 1, 3)));
        assertViolations(
                checker,
                1,
                withTwoWrites().call(Operation.READ, "GET k", 5, 6, succeeded("k:9", 1, 2)));
    }

    @Test
    public void findsAcknowledgementsOfReplacedPrimaries() {
        ReplacedPrimaryChecker checker = new ReplacedPrimaryChecker();
        HistoryBuilder good =
                withTwoWrites().logEntry(2, 1_000, "TERM 2").logEntry(2, 1_010, "PUT k k:3");
        assertViolations(
                checker,
                0,
                good.call(Operation.WRITE, "PUT k k:3", 1_005, 1_015, succeeded("OK", 2, 4)));
        assertViolations(
                checker,
                1,
                good.call(Operation.WRITE, "PUT k k:4", 1_001, 1_002, succeeded("OK", 1, 2)));
        HistoryBuilder late = withTwoWrites().logEntry(2, 1_000, "TERM 2");
        assertViolations(
                checker,
                1,
                late.call(Operation.WRITE, "PUT k k:4", 900, 1_300, succeeded("OK", 1, 2)));
        HistoryBuilder beyond = withTwoWrites().logEntry(2, 1_000, "TERM 2");
        assertViolations(
                checker,
                1,
                beyond.call(Operation.WRITE, "PUT k k:4", 900, 950, succeeded("OK", 1, 3)));
    }

    @Test
    public void findsSplitMixedAndIncompleteTransactions() {
        TransactionChecker checker = new TransactionChecker();
        assertViolations(
                checker, 0, withCommittedTransaction().logEntry(1, 9, "PUT a a:1", "PUT b b:1"));
        assertViolations(
                checker,
                2,
                withCommittedTransaction().logEntry(1, 9, "PUT a a:1").logEntry(1, 9, "PUT b b:1"),
                "split");
        assertViolations(checker, 1, withCommittedTransaction());
        HistoryBuilder mixed =
                withCommittedTransaction()
                        .call(Operation.WRITE, "PUT k k:1", 8, 9, succeeded("OK", 1, 1));
        assertViolations(checker, 1, mixed.logEntry(1, 9, "PUT a a:1", "PUT b b:1", "PUT k k:1"));
        HistoryBuilder open =
                new HistoryBuilder()
                        .transactionCall(
                                Operation.TRANSACTION_WRITE,
                                "t2",
                                "PUT a a:2",
                                succeeded("OK", 1, 1));
        assertViolations(checker, 1, open.logEntry(1, 9, "PUT a a:2"));
    }

    @Test
    public void findsAnswersOfOtherRequests() {
        AnswerMatchChecker checker = new AnswerMatchChecker();
        assertViolations(
                checker,
                0,
                withTwoWrites().call(Operation.READ, "GET k", 5, 6, succeeded("k:1", 1, 2)));
        assertViolations(
                checker,
                1,
                withTwoWrites().call(Operation.READ, "GET k", 5, 6, succeeded("j:1", 1, 2)));
        assertViolations(
                checker,
                1,
                withTwoWrites()
                        .call(Operation.WRITE, "APPEND l ,l:1", 5, 6, succeeded(",l:0", 1, 3)));
        assertViolations(
                checker,
                0,
                withTwoWrites()
                        .call(Operation.WRITE, "APPEND l ,l:1", 5, 6, succeeded(",l:0,l:1", 1, 3)));
    }

    @Test
    public void writesEachRecordAsOneLine() throws java.io.IOException {
        java.nio.file.Path file = java.nio.file.Files.createTempFile("history", ".jsonl");
        try (HistoryRecorder recorder = new HistoryRecorder(file)) {
            withTwoWrites().build().calls().forEach(recorder::add);
            recorder.add(new HistoryEvent(1, HistoryEvent.Kind.STORE_OUT, "store", 0));
            assertEquals(
                    recorder.toHistory(java.util.Map.of(), java.util.Map.of()).calls().size(), 2);
        }
        assertEquals(java.nio.file.Files.readAllLines(file).size(), 3);
    }

    private static HistoryBuilder withTwoWrites() {
        return new HistoryBuilder()
                .logEntry(1, 1, "PUT k k:1")
                .logEntry(1, 3, "PUT k k:2")
                .call(Operation.WRITE, "PUT k k:1", 1, 2, succeeded("OK", 1, 1))
                .call(Operation.WRITE, "PUT k k:2", 3, 4, succeeded("OK", 1, 2));
    }

    private static HistoryBuilder withCommittedTransaction() {
        return new HistoryBuilder()
                .transactionCall(
                        Operation.TRANSACTION_WRITE, "t1", "PUT a a:1", succeeded("OK", 1, 1))
                .transactionCall(
                        Operation.TRANSACTION_WRITE, "t1", "PUT b b:1", succeeded("OK", 1, 1))
                .transactionCall(Operation.COMMIT, "t1", "", succeeded("OK", 1, 1));
    }

    static void assertViolations(Checker checker, int count, HistoryBuilder history) {
        assertViolations(checker, count, history, checker.name());
    }

    private static void assertViolations(
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
