package org.plantainferry.engine.catalog;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against writes that go on to a former primary whose entry still claims the role. */
public final class PrimaryResolverTest {
    private static CatalogServer server(String id, boolean primary, boolean draining) {
        return new CatalogServer(id, "s", "10.0.0.1:1", "a", primary, draining, 3, 0);
    }

    @Test
    public void returnsMostRecentlyPromotedServer() {
        PrimaryResolver beliefs = new PrimaryResolver();
        beliefs.onServerEntry(server("old", true, false), 10);
        beliefs.onServerEntry(server("new", false, false), 11);
        beliefs.onServerEntry(server("new", true, false), 20);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
    }

    /**
     * The pattern: the instance that ordered a server sees it lead before the store tells of it.
     */
    @Test
    public void keepsFoundPrimaryUntilAnotherServerIsPromoted() {
        PrimaryResolver beliefs = new PrimaryResolver();
        beliefs.onServerEntry(server("old", true, false), 10);
        beliefs.onServerEntry(server("new", false, false), 11);
        beliefs.onServerEntry(server("later", false, false), 12);
        beliefs.onPrimaryFound(server("new", false, false));
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
        beliefs.onServerEntry(server("new", true, false), 20);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
        beliefs.onServerEntry(server("later", true, false), 30);
        assertEquals(beliefs.primaries(), Map.of("s", "later"));
    }

    @Test
    public void laterChangeOfEntryIsNotNewClaim() {
        PrimaryResolver beliefs = new PrimaryResolver();
        beliefs.onServerEntry(server("old", true, false), 10);
        beliefs.onServerEntry(server("new", false, false), 11);
        beliefs.onServerEntry(server("new", true, false), 20);
        beliefs.onServerEntry(server("old", true, true), 30);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
    }

    @Test
    public void keepsPrimaryWhenPartitionedFormerPrimaryReturns() {
        PrimaryResolver beliefs = new PrimaryResolver();
        beliefs.onServerEntry(server("old", true, false), 10);
        beliefs.onServerEntry(server("new", false, false), 11);
        beliefs.onServerEntry(server("new", true, false), 20);
        beliefs.onServerRemoved(server("old", true, false));
        beliefs.onServerEntry(server("old", true, false), 30);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
    }

    @Test
    public void keepsPrimaryThatWasKnownFirst() {
        PrimaryResolver beliefs = new PrimaryResolver();
        beliefs.onServerEntry(server("known", true, false), 10);
        beliefs.primaries();
        beliefs.onServerEntry(server("other", true, false), 30);
        assertEquals(beliefs.primaries(), Map.of("s", "known"));
    }

    @Test
    public void contestedRoleHasNoPrimaryUntilResolved() {
        PrimaryResolver beliefs = new PrimaryResolver();
        beliefs.onServerEntry(server("one", true, false), 10);
        beliefs.onServerEntry(server("other", true, false), 30);
        assertEquals(beliefs.primaries(), Map.of());
        assertEquals(beliefs.contestedRoles(), Map.of("s", Set.of("one", "other")));
        beliefs.resolve("s", "one");
        assertEquals(beliefs.contestedRoles(), Map.of());
        assertEquals(beliefs.primaries(), Map.of("s", "one"));
    }

    @Test
    public void hasNoPrimaryAfterEntryIsRemoved() {
        PrimaryResolver beliefs = new PrimaryResolver();
        beliefs.onServerEntry(server("old", true, false), 10);
        beliefs.onServerRemoved(server("old", true, false));
        assertEquals(beliefs.primaries(), Map.of());
    }
}
