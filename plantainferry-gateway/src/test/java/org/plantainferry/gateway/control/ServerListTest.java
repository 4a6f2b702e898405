package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;
import org.testng.annotations.Test;

/** Guards against the removal of servers whose entries expired during an outage of the store. */
public final class ServerListTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private static FeedPage<CatalogServer> page(String... ids) {
        List<FeedEntry<CatalogServer>> entries =
                List.of(ids).stream().map(id -> entry(id)).toList();
        return new FeedPage<>(StoreRevision.withoutEpoch(10), entries);
    }

    private static FeedPage<CatalogServer> page(
            long epoch, long revision, List<CatalogServer> servers) {
        return new FeedPage<>(
                new StoreRevision(StoreEpoch.of(epoch), revision),
                servers.stream()
                        .map(server -> new FeedEntry<>(server.id(), revision, Optional.of(server)))
                        .toList());
    }

    private static CatalogServer server(String id, boolean primary, boolean draining) {
        return new CatalogServer(id, "s", "10.0.0.1:1", "a", primary, draining, 3, 0);
    }

    private static FeedEntry<CatalogServer> entry(String id) {
        CatalogServer server =
                new CatalogServer(id, "s", "10.0.0.1:1", "a", id.equals("p"), false, 3, 0);
        return new FeedEntry<>(id, 5, Optional.of(server));
    }

    @Test
    public void removesAServerImmediatelyWhileTheStoreAnswers() {
        ServerList list = new ServerList();
        list.onSnapshot(page("p", "r"), 0, 0);
        FeedEntry<CatalogServer> removed = new FeedEntry<>("r", 11, Optional.empty());
        assertTrue(
                list.onChanges(
                        new FeedPage<>(StoreRevision.withoutEpoch(11), List.of(removed)),
                        SECOND_NANOS));
        assertTrue(list.catalog().server("r").isEmpty());
    }

    @Test
    public void keepsAMissingServerForTheGracePeriodAfterAnOutage() {
        ServerList list = new ServerList();
        list.onSnapshot(page("p", "r"), 0, 0);
        assertFalse(list.onSnapshot(page("r"), 10 * SECOND_NANOS, 6 * SECOND_NANOS));
        assertTrue(list.catalog().primary("s").isPresent());
        assertFalse(list.expire(11 * SECOND_NANOS));
        assertTrue(list.expire(13 * SECOND_NANOS));
        assertTrue(list.catalog().primary("s").isEmpty());
    }

    @Test
    public void keepsAServerThatRegistersAgainInTheGracePeriod() {
        ServerList list = new ServerList();
        list.onSnapshot(page("p", "r"), 0, 0);
        list.onSnapshot(page("r"), 10 * SECOND_NANOS, 6 * SECOND_NANOS);
        list.onChanges(page("p"), 11 * SECOND_NANOS);
        assertFalse(list.expire(13 * SECOND_NANOS));
        assertEquals(list.catalog().primary("s").map(CatalogServer::id), Optional.of("p"));
    }

    /** Guards against a former primary, or a leaving server, that a restored store shows again. */
    @Test
    public void keepsRolesAndLeavingServersUntilTheyWriteToTheRestoredStore() {
        ServerList list = new ServerList();
        List<CatalogServer> copied = List.of(server("i1", true, false), server("i2", false, false));
        list.onSnapshot(page(1, 100, copied), 0, 0);
        list.onChanges(page(1, 110, List.of(server("i1", false, true))), SECOND_NANOS);
        list.onChanges(page(1, 111, List.of(server("i2", true, false))), SECOND_NANOS);
        assertFalse(list.onSnapshot(page(2, 100, copied), 2 * SECOND_NANOS, 0));
        assertEquals(list.catalog().primary("s").orElseThrow().id(), "i2");
        assertTrue(list.catalog().server("i1").orElseThrow().draining());
        // A later promotion counts although its revision is lower than that of the lost one.
        list.onChanges(page(2, 101, List.of(server("i3", false, false))), 3 * SECOND_NANOS);
        list.onChanges(page(2, 102, List.of(server("i3", true, false))), 3 * SECOND_NANOS);
        assertEquals(list.catalog().primary("s").orElseThrow().id(), "i3");
    }

    @Test
    public void usesTheEntriesOfARestoredStoreAfterTheGracePeriod() {
        ServerList list = new ServerList();
        list.onSnapshot(page(1, 100, List.of(server("i1", false, true))), 0, 0);
        list.onSnapshot(page(2, 90, List.of(server("i1", false, false))), SECOND_NANOS, 0);
        assertTrue(list.hasGracePeriod());
        assertFalse(list.expire(2 * SECOND_NANOS));
        assertTrue(list.expire(4 * SECOND_NANOS));
        assertFalse(list.catalog().server("i1").orElseThrow().draining());
        assertFalse(list.hasGracePeriod());
    }

    @Test
    public void keepsAServerThatARestoredStoreLacksForTheGracePeriodWithoutAnOutage() {
        ServerList list = new ServerList();
        List<CatalogServer> servers =
                List.of(server("i1", true, false), server("i2", false, false));
        list.onSnapshot(page(1, 100, servers), 0, 0);
        assertFalse(list.onSnapshot(page(2, 90, servers.subList(0, 1)), SECOND_NANOS, 0));
        assertTrue(list.catalog().server("i2").isPresent());
        assertTrue(list.expire(4 * SECOND_NANOS));
        assertTrue(list.catalog().server("i2").isEmpty());
    }

    @Test
    public void believesARestoredEntryThatSaysThatItsServerIsLeaving() {
        ServerList list = new ServerList();
        list.onSnapshot(page(1, 100, List.of(server("i1", false, false))), 0, 0);
        list.onSnapshot(page(2, 90, List.of(server("i1", false, true))), SECOND_NANOS, 0);
        assertTrue(list.catalog().server("i1").orElseThrow().draining());
    }
}
