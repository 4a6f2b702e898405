package org.plantainferry.gateway.feed;

import java.util.ArrayList;
import java.util.List;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.gateway.log.GatewayEvent;

/**
 * Tracks the newest epoch of the store that this instance has seen.
 *
 * <p>Answers of the store arrive over several connections, so one of an earlier epoch may arrive
 * after one of a later epoch. Used by the control thread only.
 */
public final class StoreEpochTracker {
    /** Lists what the epoch of an answer says about its use. */
    public enum Verdict {
        /** The answer is of the newest epoch, or the store has never reported one. */
        CURRENT,
        /** The answer reports no epoch, though the store reported one before. */
        MISSING,
        /** The answer is of an epoch that has ended. */
        OUTDATED
    }

    /** Listens for restorations of the store. */
    public interface Listener {
        /** Called when the store was found to have been restored from a copy. */
        void onRestored(StoreEpoch epoch);
    }

    private final List<Listener> mListeners = new ArrayList<>();
    private StoreEpoch mNewest = StoreEpoch.UNKNOWN;
    // The epoch of the last answer, so that a series of equal ones is logged once.
    private StoreEpoch mLast = StoreEpoch.UNKNOWN;

    /** Adds a listener, which is called once for each epoch after the first one. */
    public void addListener(Listener listener) {
        mListeners.add(listener);
    }

    /** Returns the newest epoch; unknown if the store has never reported one. */
    public StoreEpoch newest() {
        return mNewest;
    }

    /** Records the epoch of an answer and returns whether claims may rest on the answer. */
    public boolean isCurrent(StoreEpoch epoch) {
        return observe(epoch) == Verdict.CURRENT;
    }

    /** Records the epoch of an answer and returns what it says about the use of the answer. */
    public Verdict observe(StoreEpoch epoch) {
        boolean isRepeated = epoch.equals(mLast);
        mLast = epoch;
        if (epoch.equals(mNewest)) {
            return Verdict.CURRENT;
        }
        if (epoch.compareTo(mNewest) < 0) {
            if (!isRepeated) {
                GatewayEvent.STORE_EPOCH_IGNORED.log(
                        epoch.isKnown() ? epoch.number() : "none", mNewest.number());
            }
            return epoch.isKnown() ? Verdict.OUTDATED : Verdict.MISSING;
        }
        StoreEpoch before = mNewest;
        mNewest = epoch;
        if (before.isKnown()) {
            GatewayEvent.STORE_RESTORED.log(epoch.number(), before.number());
            List.copyOf(mListeners).forEach(listener -> listener.onRestored(epoch));
        }
        return Verdict.CURRENT;
    }
}
