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
    private final Map<String, String> mChanged = new HashMap<>();
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

    Optional<String> execute(Statement statement, Statement.Values committed)
            throws Statement.BadStatementException {
        Optional<String> result = statement.execute(over(committed));
        if (!statement.isRead()) {
            mWrites.add(statement.text());
        }
        return result;
    }

    private Statement.Values over(Statement.Values committed) {
        return new Statement.Values() {
            @Override
            public Optional<String> get(String key) {
                return Optional.ofNullable(mChanged.get(key)).or(() -> committed.get(key));
            }

            @Override
            public void put(String key, String value) {
                mChanged.put(key, value);
            }
        };
    }
}
