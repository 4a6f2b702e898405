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
    private long mCharacters;

    /** Sets a session variable. */
    public void set(String name, String value) {
        String before = mVariables.put(name, value);
        mCharacters += value.length();
        mCharacters += before == null ? name.length() : -before.length();
    }

    /** Adds a prepared statement under a name; replaces an earlier statement of the same name. */
    public void prepare(String name, PreparedStatementDefinition definition) {
        PreparedStatementDefinition before = mPrepared.put(name, definition);
        mCharacters += definition.text().length();
        mCharacters += before == null ? name.length() : -before.text().length();
    }

    /** Removes a prepared statement; an unknown name is ignored. */
    public void release(String name) {
        PreparedStatementDefinition before = mPrepared.remove(name);
        mCharacters -= before == null ? 0 : name.length() + before.text().length();
    }

    /** Returns the statement that was prepared under a name, if any. */
    public Optional<PreparedStatementDefinition> preparedStatement(String name) {
        return Optional.ofNullable(mPrepared.get(name));
    }

    /** Returns the number of characters of all names, values and texts. */
    public long characters() {
        return mCharacters;
    }

    /** Returns the session variables by name; callers must not modify the map. */
    public Map<String, String> variables() {
        return mVariables;
    }
}
