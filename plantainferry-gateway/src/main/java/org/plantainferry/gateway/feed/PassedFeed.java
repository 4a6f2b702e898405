package org.plantainferry.gateway.feed;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.plantainferry.gateway.peer.generated.FeedName;
import org.plantainferry.gateway.peer.generated.FeedUpdate;

/**
 * Represents a feed whose changes instances pass on to each other.
 *
 * <p>All revisions are those of the store.
 */
interface PassedFeed {
    /** Returns the name of the feed in messages. */
    FeedName name();

    /** Returns the revision up to which this instance knows all changes; 0 before any read. */
    long knownRevision();

    /** Returns the revision of the newest change that this instance knows; 0 if there was none. */
    long lastChangeRevision();

    /** Returns what a subscriber lacks that knows all changes up to a revision. */
    Optional<FeedUpdate> updateAfter(long revision);

    /**
     * Applies an update of another instance; does nothing if it contains nothing new.
     *
     * @throws InvalidProtocolBufferException if an object of the update cannot be decoded; then
     *     nothing is applied
     */
    void onUpdate(FeedUpdate update) throws InvalidProtocolBufferException;
}
