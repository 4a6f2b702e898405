package org.plantainferry.engine.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Holds the peers of which there is news, and how many more times to pass each on. */
final class MemberNews {
    /** The age up to which evidence counts; it reaches the whole fleet well before. */
    static final long EVIDENCE_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The age up to which a sign of life is news; an older one would be read as a suspicion. */
    static final long LIFE_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    private final Map<PeerRecord, Integer> mLeft = new HashMap<>();

    /** Adds news of a peer, to be passed on often enough to reach a fleet of a size. */
    void add(PeerRecord record, int fleetSize) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
        mLeft.put(record, 2 * bits);
    }

    /** Takes the latest news first, so that a flood of older news does not hold it up. */
    List<PeerRecord> take(int limit, long nowNanos) {
        if (mLeft.isEmpty()) {
            return new ArrayList<>();
        }
        mLeft.keySet().removeIf(each -> !isNews(each, nowNanos));
        List<PeerRecord> latest = new ArrayList<>(mLeft.keySet());
        latest.sort(
                (a, b) ->
                        mLeft.get(a).equals(mLeft.get(b))
                                ? a.id().compareTo(b.id())
                                : mLeft.get(b) - mLeft.get(a));
        if (latest.size() > limit) {
            latest.subList(limit, latest.size()).clear();
        }
        for (PeerRecord each : latest) {
            mLeft.computeIfPresent(each, (record, left) -> left > 1 ? left - 1 : null);
        }
        return latest;
    }

    private static boolean isNews(PeerRecord record, long nowNanos) {
        return record.hasEvidence()
                ? record.evidenceAge(nowNanos) <= EVIDENCE_AGE_NANOS
                : record.isHeardWithin(LIFE_AGE_NANOS, nowNanos);
    }
}
