package org.plantainferry.engine.sessionstate;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/**
 * Guards against statements that run with the variables or prepared statements of another session.
 */
public final class ServerConnectionStateTest {
    private static final PreparedStatementDefinition WRITE_DEFINITION =
            new PreparedStatementDefinition(true, "q2c");

    @Test
    public void setsOnlyVariablesThatDiffer() {
        ServerConnectionState connection = new ServerConnectionState();
        SessionState session = new SessionState();
        session.set("a", "1");
        session.set("b", "2");
        connection.planSetup(session, Optional.empty());
        session.set("b", "3");
        assertEquals(
                connection.planSetup(session, Optional.empty()),
                List.of(new ConnectionSetupStep.SetValue("b", "3")));
    }

    @Test
    public void resetsAConnectionWithAVariableThatTheSessionHasNotSet() {
        ServerConnectionState connection = new ServerConnectionState();
        SessionState first = new SessionState();
        first.set("a", "1");
        connection.planSetup(first, Optional.of(WRITE_DEFINITION));
        SessionState second = new SessionState();
        second.set("b", "2");
        assertEquals(
                connection.planSetup(second, Optional.empty()),
                List.of(
                        new ConnectionSetupStep.Reset(),
                        new ConnectionSetupStep.SetValue("b", "2")));
        assertEquals(connection.preparedName(WRITE_DEFINITION), Optional.empty());
    }

    @Test
    public void sharesAPreparedStatementAmongSessionsWithDifferentNames() {
        ServerConnectionState connection = new ServerConnectionState();
        SessionState first = new SessionState();
        first.prepare("s1", WRITE_DEFINITION);
        SessionState second = new SessionState();
        second.prepare("other", WRITE_DEFINITION);
        connection.planSetup(first, first.preparedStatement("s1"));
        assertEquals(connection.planSetup(second, second.preparedStatement("other")), List.of());
    }

    @Test
    public void givesDifferentDefinitionsDifferentNames() {
        ServerConnectionState connection = new ServerConnectionState();
        PreparedStatementDefinition readDefinition = new PreparedStatementDefinition(false, "q2c");
        connection.planSetup(new SessionState(), Optional.of(WRITE_DEFINITION));
        connection.planSetup(new SessionState(), Optional.of(readDefinition));
        assertEquals(
                connection
                        .preparedName(WRITE_DEFINITION)
                        .equals(connection.preparedName(readDefinition)),
                false);
    }
}
