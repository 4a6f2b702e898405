package org.plantainferry.gateway.feed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;

/**
 * Holds the objects of one feed and the revisions up to which they are known.
 *
 * <p>An object without a usable value counts as missing. Not thread-safe.
 */
final class FeedContents<T> {
    private final Map<String, FeedEntry<T>> mEntries = new HashMap<>();
    private long mKnownRevision;
    private long mLastChangeRevision;

    /** Returns the revision of the store up to which all changes are known; 0 before any read. */
    long knownRevision() {
        return mKnownRevision;
    }

    /** Returns the revision of the newest known change; 0 if there was none. */
    long lastChangeRevision() {
        return mLastChangeRevision;
    }

    /** Returns all objects. */
    List<FeedEntry<T>> entries() {
        return List.copyOf(mEntries.values());
    }

    /** Returns whether a page is older than what is known, so that it must not be applied. */
    boolean isOutdated(FeedPage<T> page) {
        return page.revision().number() < mKnownRevision;
    }

    /** Replaces all objects; returns whether any of them was added, changed or removed. */
    boolean replaceAll(FeedPage<T> page) {
        Map<String, FeedEntry<T>> before = Map.copyOf(mEntries);
        mEntries.clear();
        long newest = 0;
        boolean changed = false;
        for (FeedEntry<T> entry : page.entries()) {
            newest = Math.max(newest, entry.revision());
            changed |= isChanged(before.get(entry.name()), entry);
            put(entry);
        }
        boolean isAnyRemoved = !mEntries.keySet().containsAll(before.keySet());
        mKnownRevision = page.revision().number();
        mLastChangeRevision =
                isAnyRemoved ? page.revision().number() : Math.max(mLastChangeRevision, newest);
        return changed || isAnyRemoved;
    }

    private static <T> boolean isChanged(FeedEntry<T> before, FeedEntry<T> after) {
        boolean isKnown = before != null;
        return after.value().isPresent()
                ? !isKnown || before.revision() != after.revision()
                : isKnown;
    }

    private void put(FeedEntry<T> entry) {
        if (entry.value().isPresent()) {
            mEntries.put(entry.name(), entry);
        } else {
            mEntries.remove(entry.name());
        }
    }

    /** Applies changes in their order. */
    void apply(FeedPage<T> page) {
        page.entries().forEach(this::put);
        mKnownRevision = page.revision().number();
        if (!page.entries().isEmpty()) {
            mLastChangeRevision = page.revision().number();
        }
    }
}
