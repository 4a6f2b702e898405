package org.plantainferry.verification.standin.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the log of one server and the values derived from its first entries.
 *
 * <p>The position counts on across terms, so the entry at position p has index p - 1.
 */
final class LogState implements Statement.Values {
    private final List<LogEntry> mEntries = new ArrayList<>();
    private final Map<String, String> mValues = new HashMap<>();
    private final Map<String, LogEntry> mRequests = new HashMap<>();
    private long mApplied;

    long position() {
        return mEntries.size();
    }

    long appliedPosition() {
        return mApplied;
    }

    LogEntry entry(long position) {
        return mEntries.get((int) position - 1);
    }

    long termAt(long position) {
        return position == 0 ? 0 : entry(position).term();
    }

    List<LogEntry> entries() {
        return List.copyOf(mEntries);
    }

    void add(LogEntry entry) {
        if (entry.position() != position() + 1) {
            throw new IllegalStateException("gap in the log before " + entry);
        }
        mEntries.add(entry);
    }

    /** Returns the applied entry of a request. */
    Optional<LogEntry> entryOf(String requestId) {
        return Optional.ofNullable(mRequests.get(requestId));
    }

    /** Applies entries up to a position. */
    void applyUpTo(long position) {
        while (mApplied < position) {
            apply(entry(mApplied + 1));
        }
    }

    /** Derives the values again from the first entries, when more than these were applied. */
    void revertTo(long position) {
        if (mApplied <= position) {
            return;
        }
        mValues.clear();
        mRequests.clear();
        mApplied = 0;
        applyUpTo(position);
    }

    /** Removes the entries after a position; their effects must not be applied any more. */
    void truncateTo(long position) {
        if (mApplied > position) {
            throw new IllegalStateException("truncating applied entries after " + position);
        }
        mEntries.subList((int) position, mEntries.size()).clear();
    }

    @Override
    public Optional<String> get(String key) {
        return Optional.ofNullable(mValues.get(key));
    }

    @Override
    public void put(String key, String value) {
        mValues.put(key, value);
    }

    private void apply(LogEntry entry) {
        for (String text : entry.statements()) {
            try {
                Statement.parse(text).execute(this);
            } catch (Statement.BadStatementException e) {
                throw new IllegalStateException("the log has a statement that cannot run", e);
            }
        }
        entry.requestId().ifPresent(id -> mRequests.putIfAbsent(id, entry));
        mApplied++;
    }
}
