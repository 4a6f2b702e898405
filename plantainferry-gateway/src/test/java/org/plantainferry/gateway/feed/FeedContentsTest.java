package org.plantainferry.gateway.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.plantainferry.engine.freshness.StoreEpoch;
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
        mContents = new FeedContents<>(RestorePolicy.keepNothing());
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
        assertEquals(mContents.lastChangeRevision(), StoreRevision.withoutEpoch(20));
    }

    @Test
    public void countsARereadOfTheSameObjectsAsNoChange() {
        mContents.replaceAll(page(10, present("s1", 4)));
        assertFalse(mContents.replaceAll(page(30, present("s1", 4))));
        assertEquals(mContents.lastChangeRevision(), StoreRevision.withoutEpoch(4));
        assertEquals(mContents.knownRevision(), StoreRevision.withoutEpoch(30));
    }

    @SafeVarargs
    private static FeedPage<String> page(long epoch, long revision, FeedEntry<String>... entries) {
        return new FeedPage<>(new StoreRevision(StoreEpoch.of(epoch), revision), List.of(entries));
    }

    /** Guards against changes that are never applied because the revisions went back. */
    @Test
    public void appliesPagesOfALaterEpochAlthoughTheirRevisionsAreLower() {
        mContents.replaceAll(page(1, 120, present("s1", 110)));
        FeedPage<String> restored = page(2, 100, present("s1", 90));
        assertFalse(mContents.isOutdated(restored));
        assertTrue(mContents.replaceAll(restored));
        assertFalse(mContents.isOutdated(page(2, 101, present("s2", 101))));
        mContents.apply(page(2, 101, present("s2", 101)));
        assertEquals(mContents.entries().size(), 2);
        assertEquals(mContents.lastChangeRevision().number(), 101);
    }

    @Test
    public void treatsAPageOfAnEpochThatHasEndedAsOutdatedAlthoughItsRevisionIsHigher() {
        mContents.replaceAll(page(2, 100, present("s1", 90)));
        assertTrue(mContents.isOutdated(page(1, 120, present("s1", 110))));
    }

    @Test
    public void countsEqualRevisionsOfAnotherEpochAsChanges() {
        mContents.replaceAll(page(1, 100, present("s1", 90)));
        assertTrue(mContents.replaceAll(page(2, 100, present("s1", 90))));
    }

    @Test
    public void comparesAPageWithoutAnEpochWithinTheKnownEpoch() {
        mContents.replaceAll(page(2, 100, present("s1", 90)));
        assertTrue(mContents.isOutdated(page(99, present("s1", 90))));
        mContents.apply(page(101, present("s2", 101)));
        assertEquals(mContents.knownRevision(), new StoreRevision(new StoreEpoch(2), 101));
    }

    @Test
    public void keepsWhatARestoredStoreHasLostUntilItIsWrittenAgain() {
        FeedContents<String> contents = new FeedContents<>(RestorePolicy.keepLost());
        contents.replaceAll(page(1, 120, present("s1", 4), present("s2", 110)));
        contents.replaceAll(page(2, 100, present("s1", 4)));
        assertEquals(contents.kept(), List.of(present("s2", 110)));
        assertEquals(contents.entries().size(), 2);
        // Lost by a second restoration from the same copy, and read twice.
        contents.replaceAll(page(3, 100, present("s1", 4)));
        contents.replaceAll(page(3, 101, present("s1", 4)));
        assertEquals(contents.entries().size(), 2);
        contents.apply(page(3, 102, present("s2", 102)));
        assertEquals(contents.kept(), List.of());
        contents.apply(page(3, 103, removed("s2", 103)));
        assertEquals(contents.entries(), List.of(present("s1", 4)));
    }

    @Test
    public void ignoresObjectsWithoutAUsableValue() {
        assertFalse(mContents.replaceAll(page(10, removed("s1", 4))));
        assertEquals(mContents.entries(), List.of());
    }
}
