package org.plantainferry.gateway.feed;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.StoreEpoch;
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
 * older than what is known is ignored. While objects are kept that the store has lost, its answers
 * confirm nothing. Used by the control thread only.
 */
final class SharedFeed<T> implements FeedListener<T> {
    // A server that lost its entry in an outage is back within this time after it.
    private static final long OUTAGE_RELEVANT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final FeedName mName;
    private final FeedCodec<T> mCodec;
    private final FeedListener<T> mListener;
    private final Consumer<FeedUpdate> mSubscribers;
    private final LongSupplier mClock;
    private final FeedContents<T> mContents;
    private long mOutageNanos;
    private long mOutageEndNanos;

    /**
     * Creates a feed without objects.
     *
     * @param policy decides what is kept when the store was restored from a copy
     * @param listener receives the objects and changes of this feed
     * @param subscribers receives what is to be passed on to subscribed instances
     */
    SharedFeed(
            FeedName name,
            FeedCodec<T> codec,
            RestorePolicy<T> policy,
            LongSupplier clock,
            FeedListener<T> listener,
            Consumer<FeedUpdate> subscribers) {
        mName = name;
        mCodec = codec;
        mContents = new FeedContents<>(policy);
        mClock = clock;
        mListener = listener;
        mSubscribers = subscribers;
    }

    /** Returns the name of the feed in messages. */
    FeedName name() {
        return mName;
    }

    /** Returns the revision up to which this instance knows all changes. */
    StoreRevision knownRevision() {
        return mContents.knownRevision();
    }

    /** Returns the revision of the newest change that this instance knows. */
    StoreRevision lastChangeRevision() {
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
        mListener.onSnapshot(mContents.withKept(page), confirmed(coveredNanos), outageNanos);
        if (changed) {
            mSubscribers.accept(update(true, mContents.entries()));
        }
    }

    private OptionalLong confirmed(OptionalLong coveredNanos) {
        return mContents.kept().isEmpty() ? coveredNanos : OptionalLong.empty();
    }

    @Override
    public void onChanges(FeedPage<T> page, OptionalLong coveredNanos) {
        if (mContents.isOutdated(page)) {
            return;
        }
        mContents.apply(page);
        FeedPage<T> changes = mContents.withoutKept(page);
        mListener.onChanges(changes, confirmed(coveredNanos));
        if (!changes.entries().isEmpty()) {
            mSubscribers.accept(update(false, changes.entries()));
        }
    }

    /**
     * Returns what a subscriber lacks that knows all changes up to a revision.
     *
     * <p>Objects that the store has lost have no revision there, so they are always sent.
     */
    Optional<FeedUpdate> updateAfter(StoreRevision revision) {
        StoreRevision known = revision.orIn(mContents.knownRevision().epoch());
        boolean isUpToDate = known.compareTo(mContents.lastChangeRevision()) >= 0;
        return isUpToDate && mContents.kept().isEmpty()
                ? Optional.empty()
                : Optional.of(update(true, mContents.entries()));
    }

    /** Returns the objects that are kept although the store lacks them or holds an older form. */
    List<FeedEntry<T>> kept() {
        return mContents.kept();
    }

    private FeedUpdate update(boolean complete, List<FeedEntry<T>> entries) {
        FeedUpdate.Builder update =
                FeedUpdate.newBuilder()
                        .setFeed(mName)
                        .setRevision(mContents.knownRevision().number())
                        .setEpoch(mContents.knownRevision().epoch().number())
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
     * <p>An update without an epoch comes from a build that does not notice a restoration of the
     * store. Where epochs are known it may be older than it looks, and is ignored.
     *
     * @throws InvalidProtocolBufferException if an object of the update cannot be decoded; then
     *     nothing is applied
     */
    void onUpdate(FeedUpdate update) throws InvalidProtocolBufferException {
        StoreEpoch epoch = StoreEpoch.of(update.getEpoch());
        if (!epoch.isKnown() && mContents.knownRevision().epoch().isKnown()) {
            return;
        }
        List<FeedEntry<T>> entries = new ArrayList<>();
        for (FeedObject object : update.getObjectsList()) {
            Optional<T> value =
                    object.getRemoved()
                            ? Optional.empty()
                            : Optional.of(mCodec.decode(object.getName(), object.getContent()));
            entries.add(new FeedEntry<>(object.getName(), object.getRevision(), value));
        }
        FeedPage<T> page = new FeedPage<>(new StoreRevision(epoch, update.getRevision()), entries);
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
