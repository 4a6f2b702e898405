package org.plantainferry.engine.catalog;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.Test;

/** Guards against writes that go on to a former primary whose entry still claims the role. */
public final class PrimaryBeliefsTest {
    private static CatalogServer server(String id, boolean primary, boolean draining) {
        return new CatalogServer(id, "s", "10.0.0.1:1", "a", primary, draining, 3, 0);
    }

    @Test
    public void believesTheServerThatClaimedTheRoleLast() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("old", true, false), 10);
        beliefs.onEntry(server("new", true, false), 20);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
    }

    @Test
    public void takesNoLaterChangeOfAnEntryForANewClaim() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("old", true, false), 10);
        beliefs.onEntry(server("new", true, false), 20);
        beliefs.onEntry(server("old", true, true), 30);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
    }

    @Test
    public void knowsNoPrimaryAfterItsEntryIsGone() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("old", true, false), 10);
        beliefs.onRemoved(server("old", true, false));
        assertEquals(beliefs.primaries(), Map.of());
    }
}
