package org.plantainferry.gateway.feed;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.gateway.peer.generated.FeedName;
import org.plantainferry.gateway.peer.generated.FeedObject;
import org.plantainferry.gateway.peer.generated.FeedUpdate;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;

/**
 * Holds the objects of one feed, which come from the store or from another instance, and passes
 * their changes on.
 *
 * <p>Revisions are those of the store, so objects from any source can be compared: a page that is
 * older than what is known is ignored. Used by the control thread only.
 */
final class SharedFeed<T> implements FeedListener<T> {
    // A server that lost its entry in an outage is back within this time after it.
    private static final long OUTAGE_RELEVANT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final FeedName mName;
    private final FeedCodec<T> mCodec;
    private final FeedListener<T> mListener;
    private final Consumer<FeedUpdate> mSubscribers;
    private final LongSupplier mClock;
    private final FeedContents<T> mContents = new FeedContents<>();
    private long mOutageNanos;
    private long mOutageEndNanos;

    /**
     * Creates a feed without objects.
     *
     * @param listener receives the objects and changes of this feed
     * @param subscribers receives what is to be passed on to subscribed instances
     */
    SharedFeed(
            FeedName name,
            FeedCodec<T> codec,
            LongSupplier clock,
            FeedListener<T> listener,
            Consumer<FeedUpdate> subscribers) {
        mName = name;
        mCodec = codec;
        mClock = clock;
        mListener = listener;
        mSubscribers = subscribers;
    }

    /** Returns the name of the feed in messages. */
    FeedName name() {
        return mName;
    }

    /** Returns the revision up to which this instance knows all changes; 0 before any read. */
    long knownRevision() {
        return mContents.knownRevision();
    }

    /** Returns the revision of the newest change that this instance knows; 0 if there was none. */
    long lastChangeRevision() {
        return mContents.lastChangeRevision();
    }

    @Override
    public void onSnapshot(FeedPage<T> page, OptionalLong coveredNanos, long outageNanos) {
        if (mContents.isOutdated(page)) {
            return;
        }
        if (outageNanos > 0) {
            mOutageNanos = outageNanos;
            mOutageEndNanos = mClock.getAsLong();
        }
        boolean changed = mContents.replaceAll(page);
        mListener.onSnapshot(page, coveredNanos, outageNanos);
        if (changed) {
            mSubscribers.accept(update(true, page.entries()));
        }
    }

    @Override
    public void onChanges(FeedPage<T> page, OptionalLong coveredNanos) {
        if (mContents.isOutdated(page)) {
            return;
        }
        mContents.apply(page);
        mListener.onChanges(page, coveredNanos);
        if (!page.entries().isEmpty()) {
            mSubscribers.accept(update(false, page.entries()));
        }
    }

    /** Returns what a subscriber lacks that knows all changes up to a revision. */
    Optional<FeedUpdate> updateAfter(long revision) {
        return revision >= mContents.lastChangeRevision()
                ? Optional.empty()
                : Optional.of(update(true, mContents.entries()));
    }

    private FeedUpdate update(boolean complete, List<FeedEntry<T>> entries) {
        FeedUpdate.Builder update =
                FeedUpdate.newBuilder()
                        .setFeed(mName)
                        .setRevision(mContents.knownRevision())
                        .setComplete(complete)
                        .setOutageMillis(recentOutageMillis());
        for (FeedEntry<T> entry : entries) {
            FeedObject.Builder object =
                    FeedObject.newBuilder()
                            .setName(entry.name())
                            .setRevision(entry.revision())
                            .setRemoved(entry.value().isEmpty());
            entry.value().ifPresent(value -> object.setContent(mCodec.encode(value)));
            update.addObjects(object);
        }
        return update.build();
    }

    private long recentOutageMillis() {
        boolean isRecent =
                mOutageNanos > 0 && mClock.getAsLong() - mOutageEndNanos < OUTAGE_RELEVANT_NANOS;
        return isRecent ? TimeUnit.NANOSECONDS.toMillis(mOutageNanos) : 0;
    }

    /**
     * Applies an update of another instance; does nothing if it is older than what is known.
     *
     * @throws InvalidProtocolBufferException if an object of the update cannot be decoded; then
     *     nothing is applied
     */
    void onUpdate(FeedUpdate update) throws InvalidProtocolBufferException {
        List<FeedEntry<T>> entries = new ArrayList<>();
        for (FeedObject object : update.getObjectsList()) {
            Optional<T> value =
                    object.getRemoved()
                            ? Optional.empty()
                            : Optional.of(mCodec.decode(object.getName(), object.getContent()));
            entries.add(new FeedEntry<>(object.getName(), object.getRevision(), value));
        }
        FeedPage<T> page =
                new FeedPage<>(StoreRevision.withoutEpoch(update.getRevision()), entries);
        if (update.getComplete()) {
            onSnapshot(
                    page,
                    OptionalLong.empty(),
                    TimeUnit.MILLISECONDS.toNanos(update.getOutageMillis()));
        } else {
            onChanges(page, OptionalLong.empty());
        }
    }
}
