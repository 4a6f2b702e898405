package org.plantainferry.engine.sessionstate;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Guards against statements that run with the values or names of another session. */
public final class ConnectionContentsTest {
    private static final PreparedShape SHAPE = new PreparedShape(true, "q2c");

    @Test
    public void setsOnlyValuesThatDiffer() {
        ConnectionContents contents = new ConnectionContents();
        SessionValues session = new SessionValues();
        session.set("a", "1");
        session.set("b", "2");
        contents.plan(session, Optional.empty());
        session.set("b", "3");
        assertEquals(
                contents.plan(session, Optional.empty()),
                List.of(new ConnectionStep.SetValue("b", "3")));
    }

    @Test
    public void resetsAConnectionThatHoldsAValueTheSessionNeverSet() {
        ConnectionContents contents = new ConnectionContents();
        SessionValues first = new SessionValues();
        first.set("a", "1");
        contents.plan(first, Optional.of(SHAPE));
        SessionValues second = new SessionValues();
        second.set("b", "2");
        assertEquals(
                contents.plan(second, Optional.empty()),
                List.of(new ConnectionStep.Reset(), new ConnectionStep.SetValue("b", "2")));
        assertEquals(contents.nameOf(SHAPE), Optional.empty());
    }

    @Test
    public void sharesAPreparedShapeAmongSessionsWithDifferentNames() {
        ConnectionContents contents = new ConnectionContents();
        SessionValues first = new SessionValues();
        first.prepare("s1", SHAPE);
        SessionValues second = new SessionValues();
        second.prepare("other", SHAPE);
        contents.plan(first, first.prepared("s1"));
        assertEquals(contents.plan(second, second.prepared("other")), List.of());
    }

    @Test
    public void givesDifferentShapesDifferentNames() {
        ConnectionContents contents = new ConnectionContents();
        PreparedShape reading = new PreparedShape(false, "q2c");
        contents.plan(new SessionValues(), Optional.of(SHAPE));
        contents.plan(new SessionValues(), Optional.of(reading));
        assertEquals(contents.nameOf(SHAPE).equals(contents.nameOf(reading)), false);
    }
}
