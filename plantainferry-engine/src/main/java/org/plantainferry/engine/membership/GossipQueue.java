package org.plantainferry.engine.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Holds the peers of which there is news, and how many more times to pass each on. */
final class GossipQueue {
    /** The age up to which evidence counts; it reaches the whole fleet well before. */
    static final long MAX_EVIDENCE_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The age up to which a sign of life is news; an older one would be read as a suspicion. */
    static final long MAX_CONTACT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    private final Map<PeerRecord, Integer> mRemainingSends = new HashMap<>();

    /** Adds news of a peer, to be passed on often enough to reach a fleet of a size. */
    void add(PeerRecord record, int fleetSize) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
        mRemainingSends.put(record, 2 * bits);
    }

    /** Takes the latest news first, so that a flood of older news does not hold it up. */
    List<PeerRecord> poll(int limit, long nowNanos) {
        if (mRemainingSends.isEmpty()) {
            return new ArrayList<>();
        }
        mRemainingSends.keySet().removeIf(each -> !isRecent(each, nowNanos));
        List<PeerRecord> latest = new ArrayList<>(mRemainingSends.keySet());
        latest.sort(
                (a, b) ->
                        mRemainingSends.get(a).equals(mRemainingSends.get(b))
                                ? a.id().compareTo(b.id())
                                : mRemainingSends.get(b) - mRemainingSends.get(a));
        if (latest.size() > limit) {
            latest.subList(limit, latest.size()).clear();
        }
        for (PeerRecord each : latest) {
            mRemainingSends.computeIfPresent(each, (record, left) -> left > 1 ? left - 1 : null);
        }
        return latest;
    }

    private static boolean isRecent(PeerRecord record, long nowNanos) {
        return record.hasFailureEvidence()
                ? record.failureEvidenceAgeNanos(nowNanos) <= MAX_EVIDENCE_AGE_NANOS
                : record.wasContactedWithin(MAX_CONTACT_AGE_NANOS, nowNanos);
    }
}
