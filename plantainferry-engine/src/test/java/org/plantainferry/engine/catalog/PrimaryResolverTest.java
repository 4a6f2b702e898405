package org.plantainferry.engine.catalog;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Set;
import org.plantainferry.engine.freshness.StoreRevision;
import org.testng.annotations.Test;

/** Guards against writes to a former primary whose entry still claims the role. */
public final class PrimaryResolverTest {
    private static CatalogServer server(String id, boolean primary, boolean draining) {
        return new CatalogServer(id, "s", "10.0.0.1:1", "a", primary, draining, 3, 0);
    }

    @Test
    public void returnsMostRecentlyPromotedServer() {
        PrimaryResolver resolver = new PrimaryResolver();
        resolver.onServerEntry(server("old", true, false), StoreRevision.withoutEpoch(10));
        resolver.onServerEntry(server("new", false, false), StoreRevision.withoutEpoch(11));
        resolver.onServerEntry(server("new", true, false), StoreRevision.withoutEpoch(20));
        assertEquals(resolver.primaries(), Map.of("s", "new"));
    }

    /** The instance that ordered the promotion sees it succeed before the store reports it. */
    @Test
    public void keepsFoundPrimaryUntilAnotherServerIsPromoted() {
        PrimaryResolver resolver = new PrimaryResolver();
        resolver.onServerEntry(server("old", true, false), StoreRevision.withoutEpoch(10));
        resolver.onServerEntry(server("new", false, false), StoreRevision.withoutEpoch(11));
        resolver.onServerEntry(server("later", false, false), StoreRevision.withoutEpoch(12));
        resolver.onPrimaryFound(server("new", false, false));
        assertEquals(resolver.primaries(), Map.of("s", "new"));
        resolver.onServerEntry(server("new", true, false), StoreRevision.withoutEpoch(20));
        assertEquals(resolver.primaries(), Map.of("s", "new"));
        resolver.onServerEntry(server("later", true, false), StoreRevision.withoutEpoch(30));
        assertEquals(resolver.primaries(), Map.of("s", "later"));
    }

    @Test
    public void laterChangeOfEntryIsNotNewClaim() {
        PrimaryResolver resolver = new PrimaryResolver();
        resolver.onServerEntry(server("old", true, false), StoreRevision.withoutEpoch(10));
        resolver.onServerEntry(server("new", false, false), StoreRevision.withoutEpoch(11));
        resolver.onServerEntry(server("new", true, false), StoreRevision.withoutEpoch(20));
        resolver.onServerEntry(server("old", true, true), StoreRevision.withoutEpoch(30));
        assertEquals(resolver.primaries(), Map.of("s", "new"));
    }

    @Test
    public void keepsPrimaryWhenPartitionedFormerPrimaryReturns() {
        PrimaryResolver resolver = new PrimaryResolver();
        resolver.onServerEntry(server("old", true, false), StoreRevision.withoutEpoch(10));
        resolver.onServerEntry(server("new", false, false), StoreRevision.withoutEpoch(11));
        resolver.onServerEntry(server("new", true, false), StoreRevision.withoutEpoch(20));
        resolver.onServerRemoved(server("old", true, false));
        resolver.onServerEntry(server("old", true, false), StoreRevision.withoutEpoch(30));
        assertEquals(resolver.primaries(), Map.of("s", "new"));
    }

    @Test
    public void keepsPrimaryThatWasKnownFirst() {
        PrimaryResolver resolver = new PrimaryResolver();
        resolver.onServerEntry(server("known", true, false), StoreRevision.withoutEpoch(10));
        resolver.primaries();
        resolver.onServerEntry(server("other", true, false), StoreRevision.withoutEpoch(30));
        assertEquals(resolver.primaries(), Map.of("s", "known"));
    }

    @Test
    public void contestedRoleHasNoPrimaryUntilResolved() {
        PrimaryResolver resolver = new PrimaryResolver();
        resolver.onServerEntry(server("one", true, false), StoreRevision.withoutEpoch(10));
        resolver.onServerEntry(server("other", true, false), StoreRevision.withoutEpoch(30));
        assertEquals(resolver.primaries(), Map.of());
        assertEquals(resolver.contestedRoles(), Map.of("s", Set.of("one", "other")));
        resolver.resolve("s", "one");
        assertEquals(resolver.contestedRoles(), Map.of());
        assertEquals(resolver.primaries(), Map.of("s", "one"));
    }

    @Test
    public void hasNoPrimaryAfterEntryIsRemoved() {
        PrimaryResolver resolver = new PrimaryResolver();
        resolver.onServerEntry(server("old", true, false), StoreRevision.withoutEpoch(10));
        resolver.onServerRemoved(server("old", true, false));
        assertEquals(resolver.primaries(), Map.of());
    }
}
