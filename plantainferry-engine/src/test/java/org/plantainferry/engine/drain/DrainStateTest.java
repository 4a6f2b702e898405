package org.plantainferry.engine.drain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against a shutdown that cuts requests, or that never ends. */
public class DrainStateTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    public void finishesWorkInProgressAndRejectsNewTransactions() {
        DrainState state = new DrainState(DrainState.DEFAULT_DRAIN_NANOS);
        assertTrue(state.view(0).ready());
        assertTrue(state.start(DrainCause.SIGNAL, 0));
        DrainView view = state.view(1);
        assertFalse(view.ready() || view.acceptsTransactions());
        assertTrue(view.acceptsRequests() && view.continuesTransactions());
        assertEquals(state.update(0, 0, SECOND), DrainPhase.DRAINING, "callers still arrive");
        assertFalse(state.view(4 * SECOND).acceptsRequests());
        assertEquals(state.update(0, 1, 10 * SECOND), DrainPhase.DRAINING);
        assertEquals(state.update(0, 0, 11 * SECOND), DrainPhase.CLOSED);
    }

    @Test
    public void closesAtTheDrainLimitDespiteRepeatedStarts() {
        DrainState state = new DrainState(DrainState.DEFAULT_DRAIN_NANOS);
        state.start(DrainCause.ORDER, 0);
        assertFalse(state.start(DrainCause.SIGNAL, 20 * SECOND));
        assertEquals(state.update(1, 1, 29 * SECOND), DrainPhase.DRAINING);
        assertEquals(state.update(1, 1, 30 * SECOND), DrainPhase.CLOSED);
    }
}
