package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against new work for a failure domain whose evacuation a restored store has lost. */
public final class EvacuationListTest {
    private EmbeddedChannel mChannel;
    private EvacuationList mList;
    private Set<String> mDomains;

    @BeforeMethod
    public void create() {
        mChannel = new EmbeddedChannel();
        mChannel.freezeTime();
        mList = new EvacuationList(mChannel.eventLoop(), domains -> mDomains = domains);
    }

    private static FeedPage<String> page(long epoch, FeedEntry<String> entry) {
        return new FeedPage<>(new StoreRevision(new StoreEpoch(epoch), 9), List.of(entry));
    }

    private static FeedEntry<String> entry(String domain, boolean evacuated) {
        return new FeedEntry<>(domain, 9, evacuated ? Optional.of(domain) : Optional.empty());
    }

    private void read(long epoch, String... domains) {
        mList.onSnapshot(
                new FeedPage<>(
                        new StoreRevision(new StoreEpoch(epoch), 9),
                        List.of(domains).stream().map(domain -> entry(domain, true)).toList()),
                OptionalLong.empty(),
                0);
    }

    private void advance(long millis) {
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }

    @Test
    public void keepsALostEvacuationForSomeTime() {
        read(1, "a", "b");
        read(2, "b");
        read(2, "b");
        assertEquals(mDomains, Set.of("a", "b"));
        advance(6_000);
        assertEquals(mDomains, Set.of("b"));
    }

    @Test
    public void keepsAnEvacuationThatIsRequestedAgain() {
        read(1, "a");
        read(2);
        mList.onChanges(page(2, entry("a", true)), OptionalLong.empty());
        advance(6_000);
        assertEquals(mDomains, Set.of("a"));
    }

    @Test
    public void endsALostEvacuationThatIsTakenBack() {
        read(1, "a");
        read(2);
        mList.onChanges(page(2, entry("a", false)), OptionalLong.empty());
        assertEquals(mDomains, Set.of());
    }

    @Test
    public void endsAnEvacuationAtOnceInTheSameEpoch() {
        read(1, "a");
        read(1);
        assertEquals(mDomains, Set.of());
    }
}
