package org.plantainferry.gateway.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.plantainferry.engine.catalog.DigestedKeys;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.gateway.peer.generated.FeedName;
import org.plantainferry.gateway.peer.generated.FeedUpdate;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a configuration that goes back, or is confirmed wrongly, after the store was
 * restored from a copy, also between instances of two builds.
 */
public final class SharedFeedTest {
    private static final String NAME = "main";

    /** Records the versions and confirmations that the feed passes on. */
    private static final class Recorder implements FeedListener<RoutingConfiguration> {
        private final List<Long> mVersions = new ArrayList<>();
        private int mConfirmations;

        @Override
        public void onSnapshot(
                FeedPage<RoutingConfiguration> page, OptionalLong coveredNanos, long outageNanos) {
            onChanges(page, coveredNanos);
        }

        @Override
        public void onChanges(FeedPage<RoutingConfiguration> page, OptionalLong coveredNanos) {
            page.entries().forEach(entry -> mVersions.add(entry.value().orElseThrow().version()));
            mConfirmations += coveredNanos.isPresent() ? 1 : 0;
        }
    }

    private Recorder mRecorder;
    private List<FeedUpdate> mUpdates;
    private SharedFeed<RoutingConfiguration> mFeed;

    @BeforeMethod
    public void createFeed() {
        mRecorder = new Recorder();
        mUpdates = new ArrayList<>();
        mFeed = feed(mRecorder, mUpdates);
    }

    private static SharedFeed<RoutingConfiguration> feed(
            Recorder recorder, List<FeedUpdate> updates) {
        return new SharedFeed<>(
                FeedName.FEED_NAME_CONFIGURATION,
                new ConfigurationCodec(),
                RestorePolicy.keepHighestVersion(),
                () -> 0,
                recorder,
                updates::add);
    }

    private static FeedPage<RoutingConfiguration> page(long epoch, long revision, long version) {
        RoutingConfiguration configuration =
                new RoutingConfiguration(
                        version, Map.of(), Map.of(), new DigestedKeys(Map.of()), Map.of(), 3_000);
        return new FeedPage<>(
                new StoreRevision(StoreEpoch.of(epoch), revision),
                List.of(new FeedEntry<>(NAME, revision, Optional.of(configuration))));
    }

    private static OptionalLong covered() {
        return OptionalLong.of(1);
    }

    @Test
    public void keepsAnOlderVersionOfARestoredStoreOutAndConfirmsNothingMeanwhile() {
        mFeed.onSnapshot(page(1, 120, 11), covered(), 0);
        mFeed.onSnapshot(page(2, 100, 7), covered(), 0);
        mFeed.onSnapshot(page(2, 101, 7), covered(), 0);
        assertEquals(mRecorder.mConfirmations, 1);
        assertFalse(mRecorder.mVersions.contains(7L), mRecorder.mVersions.toString());
        mFeed.onChanges(page(2, 102, 12), covered());
        assertEquals(mRecorder.mConfirmations, 2);
        assertEquals(mRecorder.mVersions.get(mRecorder.mVersions.size() - 1), Long.valueOf(12));
    }

    /** Guards against a version that is forgotten once its last reader has been restarted. */
    @Test
    public void tellsASubscriberThatKnowsTheRestoredStoreOfTheNewerVersion() throws Exception {
        mFeed.onSnapshot(page(1, 120, 11), covered(), 0);
        mFeed.onSnapshot(page(2, 100, 7), covered(), 0);
        Recorder recorder = new Recorder();
        SharedFeed<RoutingConfiguration> restarted = feed(recorder, new ArrayList<>());
        restarted.onSnapshot(page(2, 100, 7), covered(), 0);
        restarted.onUpdate(mFeed.updateAfter(restarted.knownRevision()).orElseThrow());
        assertEquals(recorder.mVersions, List.of(7L, 11L));
    }

    @Test
    public void passesARestorationOnAlsoWhenNoObjectDiffers() throws Exception {
        mFeed.onSnapshot(page(1, 120, 11), covered(), 0);
        mUpdates.clear();
        mFeed.onSnapshot(page(2, 120, 11), covered(), 0);
        SharedFeed<RoutingConfiguration> follower = feed(new Recorder(), new ArrayList<>());
        follower.onSnapshot(page(1, 120, 11), covered(), 0);
        follower.onUpdate(mUpdates.get(0));
        assertEquals(follower.knownRevision().epoch(), new StoreEpoch(2));
    }

    @Test
    public void ignoresAnUpdateOfABuildThatKnowsNoEpochs() throws InvalidProtocolBufferException {
        List<FeedUpdate> formerUpdates = new ArrayList<>();
        SharedFeed<RoutingConfiguration> former = feed(new Recorder(), formerUpdates);
        former.onSnapshot(page(0, 130, 9), covered(), 0);
        mFeed.onSnapshot(page(2, 100, 7), covered(), 0);
        mFeed.onUpdate(formerUpdates.get(0));
        assertEquals(mRecorder.mVersions, List.of(7L));
        assertEquals(mFeed.knownRevision(), new StoreRevision(new StoreEpoch(2), 100));
    }

    @Test
    public void sendsABuildThatKnowsNoEpochsWhatItLacks() throws InvalidProtocolBufferException {
        mFeed.onSnapshot(page(2, 130, 9), covered(), 0);
        FeedUpdate update =
                mFeed.updateAfter(StoreRevision.withoutEpoch(120)).orElseThrow().toBuilder()
                        .clearEpoch()
                        .build();
        Recorder recorder = new Recorder();
        SharedFeed<RoutingConfiguration> former = feed(recorder, new ArrayList<>());
        former.onSnapshot(page(0, 120, 7), covered(), 0);
        former.onUpdate(update);
        assertEquals(recorder.mVersions, List.of(7L, 9L));
        assertTrue(mFeed.updateAfter(StoreRevision.withoutEpoch(130)).isEmpty());
    }
}
