package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.plantainferry.engine.catalog.CatalogServer;
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
}
