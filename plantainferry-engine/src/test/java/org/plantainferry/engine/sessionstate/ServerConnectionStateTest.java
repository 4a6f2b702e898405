package org.plantainferry.engine.sessionstate;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Guards against statements that run with the values or names of another session. */
public final class ServerConnectionStateTest {
    private static final PreparedStatementDefinition WRITE_DEFINITION =
            new PreparedStatementDefinition(true, "q2c");

    @Test
    public void setsOnlyVariablesThatDiffer() {
        ServerConnectionState contents = new ServerConnectionState();
        SessionState session = new SessionState();
        session.set("a", "1");
        session.set("b", "2");
        contents.planSetup(session, Optional.empty());
        session.set("b", "3");
        assertEquals(
                contents.planSetup(session, Optional.empty()),
                List.of(new ConnectionSetupStep.SetValue("b", "3")));
    }

    @Test
    public void resetsAConnectionWithAVariableThatTheSessionHasNotSet() {
        ServerConnectionState contents = new ServerConnectionState();
        SessionState first = new SessionState();
        first.set("a", "1");
        contents.planSetup(first, Optional.of(WRITE_DEFINITION));
        SessionState second = new SessionState();
        second.set("b", "2");
        assertEquals(
                contents.planSetup(second, Optional.empty()),
                List.of(
                        new ConnectionSetupStep.Reset(),
                        new ConnectionSetupStep.SetValue("b", "2")));
        assertEquals(contents.preparedName(WRITE_DEFINITION), Optional.empty());
    }

    @Test
    public void sharesAPreparedStatementAmongSessionsWithDifferentNames() {
        ServerConnectionState contents = new ServerConnectionState();
        SessionState first = new SessionState();
        first.prepare("s1", WRITE_DEFINITION);
        SessionState second = new SessionState();
        second.prepare("other", WRITE_DEFINITION);
        contents.planSetup(first, first.preparedStatement("s1"));
        assertEquals(contents.planSetup(second, second.preparedStatement("other")), List.of());
    }

    @Test
    public void givesDifferentDefinitionsDifferentNames() {
        ServerConnectionState contents = new ServerConnectionState();
        PreparedStatementDefinition reading = new PreparedStatementDefinition(false, "q2c");
        contents.planSetup(new SessionState(), Optional.of(WRITE_DEFINITION));
        contents.planSetup(new SessionState(), Optional.of(reading));
        assertEquals(
                contents.preparedName(WRITE_DEFINITION).equals(contents.preparedName(reading)),
                false);
    }
}
