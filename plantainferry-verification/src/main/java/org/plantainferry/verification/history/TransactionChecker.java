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
 * Checks that the writes of a transaction are in one log entry or none, and that the entry has no
 * other writes.
 *
 * <p>Only writes that were acknowledged within the transaction must be in the entry. A commit that
 * was refused as not run, or a rollback that was acknowledged, leaves no entry.
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
        Map<String, String> transactionsByValue = new HashMap<>();
        for (CallRecord record : history.calls()) {
            Call call = record.call();
            call.transaction()
                    .ifPresent(
                            id -> {
                                String transaction = call.service() + " " + id;
                                recordCall(
                                        record,
                                        transactions.computeIfAbsent(
                                                transaction, n -> new TransactionWrites()));
                                transactionsByValue.put(
                                        call.service() + " " + call.writtenValue(), transaction);
                            });
        }
        List<String> violations = new ArrayList<>();
        Map<String, Integer> entryCounts = new HashMap<>();
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
                                                                transactionsByValue,
                                                                entryCounts,
                                                                violations)));
        transactions.forEach(
                (transaction, writes) ->
                        checkEntryCount(
                                transaction,
                                writes,
                                entryCounts.getOrDefault(transaction, 0),
                                violations));
        return violations;
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
            Map<String, String> transactionsByValue,
            Map<String, Integer> entryCounts,
            List<String> violations) {
        Set<String> entryTransactions = new HashSet<>();
        Set<String> values = new HashSet<>();
        for (String statement : entry.statements()) {
            values.add(Call.writtenValueOf(statement));
            entryTransactions.add(
                    transactionsByValue.getOrDefault(
                            service + " " + Call.writtenValueOf(statement), ""));
        }
        if (entryTransactions.size() > 1) {
            violations.add(
                    service
                            + " entry "
                            + entry.position()
                            + " mixes writes of "
                            + entryTransactions
                            + ": "
                            + entry.statement());
        }
        for (String transaction : entryTransactions) {
            TransactionWrites writes = transactions.get(transaction);
            if (writes == null) {
                continue;
            }
            entryCounts.merge(transaction, 1, Integer::sum);
            if (!values.containsAll(writes.mAcknowledgedValues)) {
                violations.add(transaction + " is incomplete in entry " + entry.position());
            }
        }
    }

    private static void checkEntryCount(
            String transaction, TransactionWrites writes, int entryCount, List<String> violations) {
        if (entryCount > 1) {
            violations.add(transaction + " is in " + entryCount + " entries");
        } else if (writes.mCommitted && !writes.mAcknowledgedValues.isEmpty() && entryCount == 0) {
            violations.add(transaction + " was committed but is not in the log");
        } else if (!writes.mMayHaveCommitted && entryCount > 0) {
            violations.add(transaction + " is in the log without a commit");
        }
    }
}
