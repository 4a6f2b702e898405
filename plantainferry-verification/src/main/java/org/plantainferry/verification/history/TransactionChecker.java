package org.plantainferry.verification.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainferry.verification.standin.group.LogEntry;

/**
 * Checks that the writes of a transaction are one log entry or none, and nobody else's are in it.
 *
 * <p>Only writes that were acknowledged inside the transaction must be in the entry; a commit that
 * was answered as not run, or a rollback that was acknowledged, leaves no entry.
 *
 * @since 0.1
 */
public final class TransactionChecker implements Checker {
    private static final class TransactionWrites {
        private final Set<String> mSentValues = new HashSet<>();
        private final Set<String> mAcknowledgedValues = new HashSet<>();
        private boolean mCommitted;
        private boolean mMayHaveCommitted;
    }

    @Override
    public String name() {
        return "transactions";
    }

    @Override
    public List<String> check(History history) {
        Map<String, TransactionWrites> transactions = new LinkedHashMap<>();
        Map<String, String> owners = new HashMap<>();
        for (CallRecord record : history.calls()) {
            Call call = record.call();
            call.transaction()
                    .ifPresent(
                            id -> {
                                String name = call.service() + " " + id;
                                recordCall(
                                        record,
                                        transactions.computeIfAbsent(
                                                name, n -> new TransactionWrites()));
                                owners.put(call.service() + " " + call.writtenValue(), name);
                            });
        }
        List<String> broken = new ArrayList<>();
        Map<String, Integer> counts = new HashMap<>();
        history.truths()
                .forEach(
                        (service, truth) ->
                                truth.entries()
                                        .forEach(
                                                entry ->
                                                        checkEntry(
                                                                service,
                                                                entry,
                                                                transactions,
                                                                owners,
                                                                counts,
                                                                broken)));
        transactions.forEach(
                (name, writes) ->
                        checkEntryCount(name, writes, counts.getOrDefault(name, 0), broken));
        return broken;
    }

    private static void recordCall(CallRecord record, TransactionWrites writes) {
        if (record.hasOperation(Operation.TRANSACTION_WRITE)) {
            writes.mSentValues.add(record.call().writtenValue());
            if (record.isSuccess()) {
                writes.mAcknowledgedValues.add(record.call().writtenValue());
            }
        } else if (record.hasOperation(Operation.COMMIT)) {
            writes.mCommitted |= record.isSuccess();
            writes.mMayHaveCommitted |= !record.isNotRun();
        }
    }

    private static void checkEntry(
            String service,
            LogEntry entry,
            Map<String, TransactionWrites> transactions,
            Map<String, String> owners,
            Map<String, Integer> counts,
            List<String> broken) {
        Set<String> names = new HashSet<>();
        Set<String> values = new HashSet<>();
        for (String statement : entry.statements()) {
            values.add(Call.writtenValueOf(statement));
            names.add(owners.getOrDefault(service + " " + Call.writtenValueOf(statement), ""));
        }
        if (names.size() > 1) {
            broken.add(
                    service
                            + " entry "
                            + entry.position()
                            + " mixes "
                            + names
                            + ": "
                            + entry.statement());
        }
        for (String name : names) {
            TransactionWrites writes = transactions.get(name);
            if (writes == null) {
                continue;
            }
            counts.merge(name, 1, Integer::sum);
            if (!values.containsAll(writes.mAcknowledgedValues)) {
                broken.add(name + " is incomplete in entry " + entry.position());
            }
        }
    }

    private static void checkEntryCount(
            String name, TransactionWrites writes, int count, List<String> broken) {
        if (count > 1) {
            broken.add(name + " is in " + count + " entries");
        } else if (writes.mCommitted && !writes.mAcknowledgedValues.isEmpty() && count == 0) {
            broken.add(name + " was committed but is not in the log");
        } else if (!writes.mMayHaveCommitted && count > 0) {
            broken.add(name + " is in the log without a commit");
        }
    }
}
