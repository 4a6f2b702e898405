package org.plantainferry.engine.sessionstate;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the values and prepared statements that were acknowledged to the caller of a session.
 *
 * <p>Used by one thread.
 *
 * @since 0.2
 */
public final class SessionState {
    private final Map<String, String> mVariables = new HashMap<>();
    private final Map<String, PreparedStatementDefinition> mPrepared = new HashMap<>();

    /** Sets a session value. */
    public void set(String name, String value) {
        mVariables.put(name, value);
    }

    /** Gives a name to a prepared statement; an earlier one with the name is replaced. */
    public void prepare(String name, PreparedStatementDefinition shape) {
        mPrepared.put(name, shape);
    }

    /** Removes a name; an unknown one is ignored. */
    public void release(String name) {
        mPrepared.remove(name);
    }

    /** Returns the statement that was prepared under a name. */
    public Optional<PreparedStatementDefinition> preparedStatement(String name) {
        return Optional.ofNullable(mPrepared.get(name));
    }

    /** Returns the values; a view for reading only. */
    public Map<String, String> variables() {
        return mVariables;
    }
}
