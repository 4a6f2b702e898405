package org.plantainferry.engine.sessionstate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Tracks the session variables and prepared statements that are set up on one server connection.
 *
 * <p>Planned steps are recorded as successful; if a step fails, the connection must be closed,
 * because its state is then unknown. Not thread-safe.
 *
 * @since 0.2
 */
public final class ServerConnectionState {
    // Prepared statements on a connection are shared by sessions, so their names are generated.
    private static final String NAME_PREFIX = "p";
    private static final int MAX_PREPARED_STATEMENTS = 200;

    private final Map<String, String> mVariables = new HashMap<>();
    private final Map<PreparedStatementDefinition, String> mPreparedNames = new HashMap<>();
    private int mLastNameNumber;

    /**
     * Returns the steps that must run before a statement of a session, and records them as done.
     *
     * @param session the state of the session
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
        // A fixed order keeps the logs of different connections comparable.
        new TreeMap<>(session.variables())
                .forEach((name, value) -> planVariable(name, value, steps));
        needed.filter(definition -> !mPreparedNames.containsKey(definition))
                .ifPresent(
                        definition ->
                                steps.add(
                                        new ConnectionSetupStep.Prepare(
                                                newName(definition), definition)));
        return steps;
    }

    private boolean needsReset(SessionState session) {
        boolean hasOtherVariable =
                mVariables.keySet().stream()
                        .anyMatch(name -> !session.variables().containsKey(name));
        return hasOtherVariable || mPreparedNames.size() >= MAX_PREPARED_STATEMENTS;
    }

    private void planVariable(String name, String value, List<ConnectionSetupStep> steps) {
        if (value.equals(mVariables.get(name))) {
            return;
        }
        mVariables.put(name, value);
        steps.add(new ConnectionSetupStep.SetValue(name, value));
    }

    private String newName(PreparedStatementDefinition definition) {
        mLastNameNumber++;
        String name = NAME_PREFIX + mLastNameNumber;
        mPreparedNames.put(definition, name);
        return name;
    }

    /**
     * Returns the name of a prepared statement on this connection; empty when it is not prepared
     * here.
     */
    public Optional<String> preparedName(PreparedStatementDefinition definition) {
        return Optional.ofNullable(mPreparedNames.get(definition));
    }

    /**
     * Returns the number of setup steps that a session would need; used to select the connection
     * with the fewest.
     */
    public int countSetupSteps(SessionState session, Optional<PreparedStatementDefinition> needed) {
        int steps = 0;
        for (Map.Entry<String, String> variable : session.variables().entrySet()) {
            steps += variable.getValue().equals(mVariables.get(variable.getKey())) ? 0 : 1;
        }
        boolean isMissing = needed.isPresent() && !mPreparedNames.containsKey(needed.get());
        return steps + (isMissing ? 1 : 0) + (needsReset(session) ? 1 : 0);
    }
}
