package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.verification.standin.group.LogEntry;

/** Builds small histories; all times are milliseconds. */
final class HistoryBuilder {
    static final String SERVICE = "ledger-1";

    private final List<CallRecord> mCalls = new ArrayList<>();
    private final List<HistoryEvent> mEvents = new ArrayList<>();
    private final List<VersionSample> mSamples = new ArrayList<>();
    private final List<LogEntry> mEntries = new ArrayList<>();
    private final Map<String, RateLimit> mLimits = new HashMap<>();
    private final List<GroupTruth.LeavingWork> mLeavingWork = new ArrayList<>();
    private int mKeyViolations;

    HistoryBuilder call(
            Operation operation, String statement, long start, long end, Answer answer) {
        return call(operation, "", statement, start, end, Outcome.ANSWERED, Optional.of(answer));
    }

    HistoryBuilder transactionCall(
            Operation operation, String transaction, String statement, Answer answer) {
        long time = mCalls.size();
        return call(
                operation,
                transaction,
                statement,
                time,
                time + 1,
                Outcome.ANSWERED,
                Optional.of(answer));
    }

    HistoryBuilder call(
            Operation operation,
            String transaction,
            String statement,
            long start,
            long end,
            Outcome outcome,
            Optional<Answer> answer) {
        Call call =
                new Call(
                        "client-1",
                        "session-1",
                        "bench",
                        "bench-b",
                        "como-a-1",
                        SERVICE,
                        operation,
                        Optional.of(transaction).filter(id -> !id.isEmpty()),
                        statement,
                        Optional.empty(),
                        Optional.of(new LogPosition(1, 1)),
                        1_000);
        mCalls.add(new CallRecord(call, nanos(start), nanos(end), outcome, answer));
        return this;
    }

    HistoryBuilder logEntry(long term, long millis, String... statements) {
        mEntries.add(
                new LogEntry(
                        mEntries.size() + 1,
                        term,
                        Optional.empty(),
                        String.join("; ", statements),
                        Optional.empty(),
                        statements[0].startsWith("TERM") ? List.of() : List.of(statements),
                        nanos(millis)));
        return this;
    }

    HistoryBuilder event(HistoryEvent.Kind kind, String subject, long millis, long number) {
        mEvents.add(new HistoryEvent(nanos(millis), kind, subject, number));
        return this;
    }

    HistoryBuilder versionSample(int incarnation, long millis, long version) {
        mSamples.add(
                new VersionSample(
                        "como-a-1", incarnation, nanos(millis), nanos(millis + 1), version));
        return this;
    }

    HistoryBuilder rateLimit(double rate, double burst) {
        mLimits.put("bench", new RateLimit(rate, burst));
        return this;
    }

    HistoryBuilder workAtLeavingServer(long lastAfterMillis) {
        mLeavingWork.add(new GroupTruth.LeavingWork("ledger-1-a", 1, lastAfterMillis));
        return this;
    }

    HistoryBuilder keyViolation() {
        mKeyViolations++;
        return this;
    }

    History build() {
        GroupTruth truth =
                new GroupTruth(SERVICE, mEntries, List.of(), mKeyViolations, mLeavingWork);
        return new History(mCalls, mEvents, mSamples, Map.of(SERVICE, truth), mLimits);
    }

    static Answer succeeded(String result, long term, long position) {
        return succeeded(result, term, position, "bench");
    }

    static Answer succeeded(String result, long term, long position, String workspace) {
        return new Answer(
                200,
                "RUN",
                "",
                Optional.of(result).filter(text -> !text.isEmpty()),
                "ledger-1-a",
                "primary",
                term,
                position,
                Optional.of(new LogPosition(term, position)),
                Optional.of(workspace),
                "como-a-1",
                0);
    }

    static Answer refused(String verdict, String code, long retryAfterMillis) {
        return new Answer(
                503,
                verdict,
                code,
                Optional.empty(),
                "",
                "",
                0,
                0,
                Optional.empty(),
                Optional.empty(),
                "como-a-1",
                retryAfterMillis);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
