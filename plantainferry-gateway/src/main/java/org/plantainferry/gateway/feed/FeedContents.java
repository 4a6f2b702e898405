package org.plantainferry.gateway.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.engine.freshness.StoreRevision;
import org.plantainferry.gateway.spi.FeedEntry;
import org.plantainferry.gateway.spi.FeedPage;

/**
 * Holds the objects of one feed and the revisions up to which they are known.
 *
 * <p>An object without a usable value counts as missing. Objects that a restored store has lost may
 * be kept, see {@link RestorePolicy}. Not thread-safe.
 */
final class FeedContents<T> {
    private final RestorePolicy<T> mPolicy;
    private final Map<String, FeedEntry<T>> mStored = new HashMap<>();
    // Take the place of stored objects of the same name.
    private final Map<String, FeedEntry<T>> mKept = new HashMap<>();
    private StoreRevision mKnownRevision = StoreRevision.NONE;
    private StoreRevision mLastChangeRevision = StoreRevision.NONE;

    FeedContents(RestorePolicy<T> policy) {
        mPolicy = policy;
    }

    /** Returns the revision of the store up to which all changes are known. */
    StoreRevision knownRevision() {
        return mKnownRevision;
    }

    /** Returns the revision of the newest known change. */
    StoreRevision lastChangeRevision() {
        return mLastChangeRevision;
    }

    /** Returns all objects. */
    List<FeedEntry<T>> entries() {
        return List.copyOf(effective().values());
    }

    private Map<String, FeedEntry<T>> effective() {
        Map<String, FeedEntry<T>> entries = new HashMap<>(mStored);
        entries.putAll(mKept);
        return entries;
    }

    private Optional<FeedEntry<T>> effective(String name) {
        return Optional.ofNullable(mKept.getOrDefault(name, mStored.get(name)));
    }

    /** Returns the objects that are kept although the store lacks them or holds an older form. */
    List<FeedEntry<T>> kept() {
        return List.copyOf(mKept.values());
    }

    /** Returns whether a page is older than what is known, so that it must not be applied. */
    boolean isOutdated(FeedPage<T> page) {
        return resolved(page).compareTo(mKnownRevision) < 0;
    }

    private StoreRevision resolved(FeedPage<T> page) {
        return page.revision().orIn(mKnownRevision.epoch());
    }

    /**
     * Replaces all objects; returns whether any of them was added, changed or removed.
     *
     * <p>Revisions of another epoch say nothing about changes, so there all objects count as
     * changed.
     */
    boolean replaceAll(FeedPage<T> page) {
        Map<String, FeedEntry<T>> before = effective();
        Set<String> keptBefore = Set.copyOf(mKept.keySet());
        StoreRevision revision = resolved(page);
        boolean isRestored = mKnownRevision.epoch().differsFrom(revision.epoch());
        mStored.clear();
        mKept.clear();
        page.entries().forEach(this::putStored);
        before.forEach((name, known) -> keep(known, isRestored || keptBefore.contains(name)));
        mKnownRevision = revision;
        Map<String, FeedEntry<T>> after = effective();
        boolean isAnyRemoved = !after.keySet().containsAll(before.keySet());
        boolean isAnyChanged = after.values().stream().anyMatch(entry -> isChanged(before, entry));
        if (isRestored || isAnyRemoved) {
            mLastChangeRevision = revision;
        } else {
            advanceLastChange(page);
        }
        return isRestored || isAnyRemoved || isAnyChanged;
    }

    private static <T> boolean isChanged(Map<String, FeedEntry<T>> before, FeedEntry<T> after) {
        FeedEntry<T> known = before.get(after.name());
        return known == null || known.revision() != after.revision();
    }

    private void advanceLastChange(FeedPage<T> page) {
        long newest = page.entries().stream().mapToLong(FeedEntry::revision).max().orElse(0);
        StoreRevision change = new StoreRevision(mKnownRevision.epoch(), newest);
        if (change.compareTo(mLastChangeRevision) > 0) {
            mLastChangeRevision = change;
        }
    }

    private void putStored(FeedEntry<T> entry) {
        if (entry.value().isPresent()) {
            mStored.put(entry.name(), entry);
        } else {
            mStored.remove(entry.name());
        }
    }

    private void keep(FeedEntry<T> known, boolean isLostPossible) {
        Optional<T> stored =
                Optional.ofNullable(mStored.get(known.name())).flatMap(FeedEntry::value);
        if (mPolicy.keeps(known.value().orElseThrow(), stored, isLostPossible)) {
            mKept.put(known.name(), known);
        } else {
            mKept.remove(known.name());
        }
    }

    /** Applies changes in their order. */
    void apply(FeedPage<T> page) {
        Map<String, FeedEntry<T>> before = new HashMap<>();
        for (FeedEntry<T> entry : page.entries()) {
            effective(entry.name()).ifPresent(known -> before.putIfAbsent(entry.name(), known));
            putStored(entry);
        }
        before.forEach((name, known) -> keep(known, mKept.containsKey(name)));
        mKnownRevision = resolved(page);
        if (!page.entries().isEmpty()) {
            mLastChangeRevision = mKnownRevision;
        }
    }

    /** Returns a page of all objects as it is to be used, with the objects that are kept. */
    FeedPage<T> withKept(FeedPage<T> page) {
        List<FeedEntry<T>> entries = new ArrayList<>(withoutKept(page).entries());
        entries.addAll(mKept.values());
        return new FeedPage<>(mKnownRevision, entries);
    }

    /** Returns a page of changes as it is to be used, without those of objects that are kept. */
    FeedPage<T> withoutKept(FeedPage<T> page) {
        List<FeedEntry<T>> entries =
                page.entries().stream().filter(entry -> !mKept.containsKey(entry.name())).toList();
        return new FeedPage<>(mKnownRevision, entries);
    }
}
