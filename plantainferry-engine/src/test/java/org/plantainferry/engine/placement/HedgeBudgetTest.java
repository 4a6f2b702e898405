package org.plantainferry.engine.placement;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Guards against the pattern of an overloaded primary whose replicas are all behind: every read is
 * late, and a second copy of each would keep the primary overloaded.
 */
public final class HedgeBudgetTest {
    private static final int READS = 1_000;

    @Test
    public void hedgesFewReadsWhenAllAreLate() {
        HedgeBudget budget = new HedgeBudget();
        int hedged = 0;
        for (int read = 0; read < READS; read++) {
            budget.onRead();
            hedged += budget.tryHedge() ? 1 : 0;
        }
        assertTrue(hedged <= READS * 0.11, "hedged " + hedged);
    }

    @Test
    public void hedgesEachLateReadWhenFewAreLate() {
        HedgeBudget budget = new HedgeBudget();
        for (int read = 0; read < READS; read++) {
            budget.onRead();
            if (read % 20 == 0) {
                assertTrue(budget.tryHedge(), "read " + read);
            }
        }
    }
}
