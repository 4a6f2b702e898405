package org.plantainferry.engine.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Holds the peers whose state has changed and how many more times each change is sent to other
 * instances.
 */
final class GossipQueue {
    /**
     * The age up to which failure evidence is sent and accepted; evidence reaches the whole fleet
     * well before this age.
     */
    static final long MAX_EVIDENCE_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The age up to which a contact is sent; a receiver could read an older one as a suspicion. */
    static final long MAX_CONTACT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    private final Map<PeerRecord, Integer> mRemainingSends = new HashMap<>();

    /** Adds a changed peer, to be sent often enough to reach a fleet of the given size. */
    void add(PeerRecord record, int fleetSize) {
        int binaryDigits = Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
        mRemainingSends.put(record, 2 * binaryDigits);
    }

    /**
     * Returns up to {@code limit} peers and counts them as sent. Those with the most remaining
     * sends come first, so that a burst of older changes does not delay newer ones.
     */
    List<PeerRecord> poll(int limit, long nowNanos) {
        if (mRemainingSends.isEmpty()) {
            return new ArrayList<>();
        }
        mRemainingSends.keySet().removeIf(peer -> !isRecent(peer, nowNanos));
        List<PeerRecord> selected = new ArrayList<>(mRemainingSends.keySet());
        selected.sort(
                (a, b) ->
                        mRemainingSends.get(a).equals(mRemainingSends.get(b))
                                ? a.id().compareTo(b.id())
                                : mRemainingSends.get(b) - mRemainingSends.get(a));
        if (selected.size() > limit) {
            selected.subList(limit, selected.size()).clear();
        }
        for (PeerRecord peer : selected) {
            mRemainingSends.computeIfPresent(
                    peer, (key, remaining) -> remaining > 1 ? remaining - 1 : null);
        }
        return selected;
    }

    private static boolean isRecent(PeerRecord record, long nowNanos) {
        return record.hasFailureEvidence()
                ? record.failureEvidenceAgeNanos(nowNanos) <= MAX_EVIDENCE_AGE_NANOS
                : record.wasContactedWithin(MAX_CONTACT_AGE_NANOS, nowNanos);
    }
}
