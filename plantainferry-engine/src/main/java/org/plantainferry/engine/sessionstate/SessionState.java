package org.plantainferry.engine.sessionstate;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the session variables and prepared statements that were acknowledged to the caller.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2
 */
public final class SessionState {
    private final Map<String, String> mVariables = new HashMap<>();
    private final Map<String, PreparedStatementDefinition> mPrepared = new HashMap<>();

    /** Sets a session variable. */
    public void set(String name, String value) {
        mVariables.put(name, value);
    }

    /** Adds a prepared statement under a name; replaces an earlier statement of the same name. */
    public void prepare(String name, PreparedStatementDefinition definition) {
        mPrepared.put(name, definition);
    }

    /** Removes a prepared statement; an unknown name is ignored. */
    public void release(String name) {
        mPrepared.remove(name);
    }

    /** Returns the statement that was prepared under a name, if any. */
    public Optional<PreparedStatementDefinition> preparedStatement(String name) {
        return Optional.ofNullable(mPrepared.get(name));
    }

    /** Returns the session variables by name; callers must not modify the map. */
    public Map<String, String> variables() {
        return mVariables;
    }
}
