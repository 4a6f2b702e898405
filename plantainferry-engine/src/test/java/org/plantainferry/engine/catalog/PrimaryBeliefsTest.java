package org.plantainferry.engine.catalog;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against writes that go on to a former primary whose entry still claims the role. */
public final class PrimaryBeliefsTest {
    private static CatalogServer server(String id, boolean primary, boolean draining) {
        return new CatalogServer(id, "s", "10.0.0.1:1", "a", primary, draining, 3, 0);
    }

    @Test
    public void believesTheServerThatWasPromotedLast() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("old", true, false), 10);
        beliefs.onEntry(server("new", false, false), 11);
        beliefs.onEntry(server("new", true, false), 20);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
    }

    /**
     * The pattern: the instance that ordered a server sees it lead before the store tells of it.
     */
    @Test
    public void believesAServerThatWasFoundToLeadUntilAnotherIsPromoted() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("old", true, false), 10);
        beliefs.onEntry(server("new", false, false), 11);
        beliefs.onEntry(server("later", false, false), 12);
        beliefs.onLeading(server("new", false, false));
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
        beliefs.onEntry(server("new", true, false), 20);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
        beliefs.onEntry(server("later", true, false), 30);
        assertEquals(beliefs.primaries(), Map.of("s", "later"));
    }

    @Test
    public void takesNoLaterChangeOfAnEntryForANewClaim() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("old", true, false), 10);
        beliefs.onEntry(server("new", false, false), 11);
        beliefs.onEntry(server("new", true, false), 20);
        beliefs.onEntry(server("old", true, true), 30);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
    }

    @Test
    public void staysWithThePrimaryWhenAFormerOneComesBackBehindACutStillClaimingTheRole() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("old", true, false), 10);
        beliefs.onEntry(server("new", false, false), 11);
        beliefs.onEntry(server("new", true, false), 20);
        beliefs.onRemoved(server("old", true, false));
        beliefs.onEntry(server("old", true, false), 30);
        assertEquals(beliefs.primaries(), Map.of("s", "new"));
    }

    @Test
    public void staysWithAPrimaryThatWasKnownFirst() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("known", true, false), 10);
        beliefs.primaries();
        beliefs.onEntry(server("other", true, false), 30);
        assertEquals(beliefs.primaries(), Map.of("s", "known"));
    }

    @Test
    public void believesNobodyAtTheStartWhileTwoClaimTheRoleUntilTheirTermsAreKnown() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("one", true, false), 10);
        beliefs.onEntry(server("other", true, false), 30);
        assertEquals(beliefs.primaries(), Map.of());
        assertEquals(beliefs.contested(), Map.of("s", Set.of("one", "other")));
        beliefs.settle("s", "one");
        assertEquals(beliefs.contested(), Map.of());
        assertEquals(beliefs.primaries(), Map.of("s", "one"));
    }

    @Test
    public void knowsNoPrimaryAfterItsEntryIsGone() {
        PrimaryBeliefs beliefs = new PrimaryBeliefs();
        beliefs.onEntry(server("old", true, false), 10);
        beliefs.onRemoved(server("old", true, false));
        assertEquals(beliefs.primaries(), Map.of());
    }
}
