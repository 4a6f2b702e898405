package org.plantainferry.engine.sessionstate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Tracks the values and prepared statements of one server connection.
 *
 * <p>The plan assumes that its steps succeed; the connection must be closed when one fails, because
 * its contents are then unknown. Used by one thread.
 *
 * @since 0.2
 */
public final class ServerConnectionState {
    // Names on a connection are shared by sessions, so they are numbered by shape.
    private static final String NAME_PREFIX = "p";
    private static final int MAX_PREPARED_STATEMENTS = 200;

    private final Map<String, String> mVariables = new HashMap<>();
    private final Map<PreparedStatementDefinition, String> mPreparedNames = new HashMap<>();
    private int mLastNameNumber;

    /**
     * Returns the steps after which a statement of a session may run here, and notes them as done.
     *
     * @param session the session
     * @param needed the prepared statement that runs next, if any
     */
    public List<ConnectionSetupStep> planSetup(
            SessionState session, Optional<PreparedStatementDefinition> needed) {
        List<ConnectionSetupStep> steps = new ArrayList<>();
        if (needsReset(session)) {
            mVariables.clear();
            mPreparedNames.clear();
            steps.add(new ConnectionSetupStep.Reset());
        }
        // A fixed order makes logs of two connections comparable.
        new TreeMap<>(session.variables())
                .forEach((name, value) -> planVariable(name, value, steps));
        needed.filter(shape -> !mPreparedNames.containsKey(shape))
                .ifPresent(
                        shape -> steps.add(new ConnectionSetupStep.Prepare(newName(shape), shape)));
        return steps;
    }

    private boolean needsReset(SessionState session) {
        boolean hasForeignValue =
                mVariables.keySet().stream()
                        .anyMatch(name -> !session.variables().containsKey(name));
        return hasForeignValue || mPreparedNames.size() >= MAX_PREPARED_STATEMENTS;
    }

    private void planVariable(String name, String value, List<ConnectionSetupStep> steps) {
        if (value.equals(mVariables.get(name))) {
            return;
        }
        mVariables.put(name, value);
        steps.add(new ConnectionSetupStep.SetValue(name, value));
    }

    private String newName(PreparedStatementDefinition shape) {
        mLastNameNumber++;
        String name = NAME_PREFIX + mLastNameNumber;
        mPreparedNames.put(shape, name);
        return name;
    }

    /** Returns the name of a prepared statement on this connection. */
    public Optional<String> preparedName(PreparedStatementDefinition shape) {
        return Optional.ofNullable(mPreparedNames.get(shape));
    }

    /** Returns how many steps a session would need; used to pick the cheapest connection. */
    public int countSetupSteps(SessionState session, Optional<PreparedStatementDefinition> needed) {
        int steps = 0;
        for (Map.Entry<String, String> each : session.variables().entrySet()) {
            steps += each.getValue().equals(mVariables.get(each.getKey())) ? 0 : 1;
        }
        boolean isMissing = needed.isPresent() && !mPreparedNames.containsKey(needed.get());
        return steps + (isMissing ? 1 : 0) + (needsReset(session) ? 1 : 0);
    }
}
