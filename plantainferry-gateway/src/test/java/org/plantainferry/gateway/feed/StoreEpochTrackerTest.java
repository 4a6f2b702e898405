package org.plantainferry.gateway.feed;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.gateway.feed.StoreEpochTracker.Verdict;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an answer of an ended epoch that is used, or a restoration that goes unnoticed.
 */
public final class StoreEpochTrackerTest {
    private final List<Long> mRestored = new ArrayList<>();
    private StoreEpochTracker mTracker;

    @BeforeMethod
    public void create() {
        mRestored.clear();
        mTracker = new StoreEpochTracker();
        mTracker.addListener(epoch -> mRestored.add(epoch.number()));
    }

    private Verdict observe(long epoch) {
        return mTracker.observe(StoreEpoch.of(epoch));
    }

    @Test
    public void takesTheFirstEpochForNoRestoration() {
        assertEquals(observe(0), Verdict.CURRENT);
        assertEquals(observe(4), Verdict.CURRENT);
        assertEquals(mRestored, List.of());
    }

    @Test
    public void reportsEachRestorationOnceAlsoWhenAnEpochIsSkipped() {
        observe(4);
        observe(5);
        observe(5);
        observe(9);
        assertEquals(mRestored, List.of(5L, 9L));
    }

    @Test
    public void passesOverEndedAndMissingEpochsOfOtherConnections() {
        observe(4);
        observe(5);
        assertEquals(observe(4), Verdict.OUTDATED);
        assertEquals(observe(0), Verdict.MISSING);
        assertEquals(observe(5), Verdict.CURRENT);
        assertEquals(observe(4), Verdict.OUTDATED);
        assertEquals(mTracker.newest(), new StoreEpoch(5));
        assertEquals(mRestored, List.of(5L));
    }
}
