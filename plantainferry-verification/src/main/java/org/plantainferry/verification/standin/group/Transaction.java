package org.plantainferry.verification.standin.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the changes of one transaction until its commit.
 *
 * <p>Its statements see committed values and its own changes. The commit runs its writes again on
 * the values of that moment, so no increment of another transaction is lost.
 */
final class Transaction {
    private final long mTerm;
    private final Map<String, String> mChangedValues = new HashMap<>();
    private final List<String> mWrites = new ArrayList<>();

    Transaction(long term) {
        mTerm = term;
    }

    long term() {
        return mTerm;
    }

    List<String> writes() {
        return mWrites;
    }

    Optional<String> execute(Statement statement, Statement.KeyValueStore committed)
            throws Statement.BadStatementException {
        Optional<String> result = statement.execute(overlay(committed));
        if (!statement.isRead()) {
            mWrites.add(statement.text());
        }
        return result;
    }

    private Statement.KeyValueStore overlay(Statement.KeyValueStore committed) {
        return new Statement.KeyValueStore() {
            @Override
            public Optional<String> get(String key) {
                return Optional.ofNullable(mChangedValues.get(key)).or(() -> committed.get(key));
            }

            @Override
            public void put(String key, String value) {
                mChangedValues.put(key, value);
            }
        };
    }
}
