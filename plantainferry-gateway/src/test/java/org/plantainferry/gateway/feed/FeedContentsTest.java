package org.plantainferry.gateway.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against an object that is in use again after its removal was known. */
public final class FeedContentsTest {
    private FeedContents<String> mContents;

    @BeforeMethod
    public void create() {
        mContents = new FeedContents<>();
    }

    private static FeedEntry<String> present(String name, long revision) {
        return new FeedEntry<>(name, revision, Optional.of(name));
    }

    private static FeedEntry<String> removed(String name, long revision) {
        return new FeedEntry<>(name, revision, Optional.empty());
    }

    @SafeVarargs
    private static FeedPage<String> page(long revision, FeedEntry<String>... entries) {
        return new FeedPage<>(StoreRevision.withoutEpoch(revision), List.of(entries));
    }

    @Test
    public void treatsAPageThatIsOlderThanAKnownRemovalAsOutdated() {
        mContents.replaceAll(page(10, present("s1", 4)));
        mContents.apply(page(12, removed("s1", 12)));
        assertTrue(mContents.isOutdated(page(11, present("s1", 4))));
        assertFalse(mContents.isOutdated(page(12, present("s2", 12))));
        assertEquals(mContents.entries(), List.of());
    }

    @Test
    public void countsARemovalBetweenTwoReadsAsAChange() {
        mContents.replaceAll(page(10, present("s1", 4), present("s2", 6)));
        assertTrue(mContents.replaceAll(page(20, present("s1", 4))));
        assertEquals(mContents.lastChangeRevision(), 20);
    }

    @Test
    public void countsARereadOfTheSameObjectsAsNoChange() {
        mContents.replaceAll(page(10, present("s1", 4)));
        assertFalse(mContents.replaceAll(page(30, present("s1", 4))));
        assertEquals(mContents.lastChangeRevision(), 4);
        assertEquals(mContents.knownRevision(), 30);
    }

    @Test
    public void ignoresObjectsWithoutAUsableValue() {
        assertFalse(mContents.replaceAll(page(10, removed("s1", 4))));
        assertEquals(mContents.entries(), List.of());
    }
}
