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
final class ServerLog implements Statement.KeyValueStore {
    private final List<LogEntry> mEntries = new ArrayList<>();
    private final Map<String, String> mValues = new HashMap<>();
    private final Map<String, LogEntry> mEntriesByRequest = new HashMap<>();
    private long mAppliedPosition;

    long position() {
        return mEntries.size();
    }

    long appliedPosition() {
        return mAppliedPosition;
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

    void append(LogEntry entry) {
        if (entry.position() != position() + 1) {
            throw new IllegalStateException("gap in the log before " + entry);
        }
        mEntries.add(entry);
    }

    /** Returns the applied entry of a request. */
    Optional<LogEntry> entryForRequest(String requestId) {
        return Optional.ofNullable(mEntriesByRequest.get(requestId));
    }

    /** Applies entries up to a position. */
    void applyUpTo(long position) {
        while (mAppliedPosition < position) {
            apply(entry(mAppliedPosition + 1));
        }
    }

    /** Derives the values again from the first entries, when more than these were applied. */
    void revertAppliedTo(long position) {
        if (mAppliedPosition <= position) {
            return;
        }
        mValues.clear();
        mEntriesByRequest.clear();
        mAppliedPosition = 0;
        applyUpTo(position);
    }

    /** Removes the entries after a position; their effects must not be applied any more. */
    void truncateTo(long position) {
        if (mAppliedPosition > position) {
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
        entry.requestId().ifPresent(id -> mEntriesByRequest.putIfAbsent(id, entry));
        mAppliedPosition++;
    }
}
