package org.plantainferry.engine.limit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainferry.api.InstanceId;

/** Divides rate and capacity among active borrowers, max-min fair by demand. */
final class Division {
    // Demand is an average over 200 ms; the surplus covers its growth until the next request.
    private static final double HEADROOM = 1.25;

    private static final double SCARCE = 3;

    // Below this rate an ask for each request costs little, and tokens spread over many buckets
    // would be missing where the next request arrives.
    private static final double SLOW = 15;

    private final Map<InstanceId, Double> mRates = new HashMap<>();
    private final double mTotalRate;
    private final double mTotalCapacity;
    private final double mReserve;
    private final int mActive;

    Division(
            long nowNanos,
            Map<InstanceId, LentShare> borrowers,
            SlotLimit terms,
            int slots,
            double reservePart) {
        mTotalRate = slots * terms.ratePerSecond();
        Map<InstanceId, Double> wants = new HashMap<>();
        borrowers.forEach(
                (instance, share) -> {
                    if (share.isActive(nowNanos)) {
                        wants.put(instance, share.demand() * HEADROOM);
                    }
                });
        mActive = wants.size();
        // Without competition a reserve would only make the burst smaller; a second borrower gets
        // its tokens by a recall.
        mReserve = mActive > 1 ? slots * terms.capacity() * reservePart : 0;
        mTotalCapacity = slots * terms.capacity() - mReserve;
        // A starving borrower's smoothed demand lags behind, so it counts as an equal part.
        wants.replaceAll(
                (instance, want) ->
                        borrowers.get(instance).isStarving()
                                ? Math.max(want, mTotalRate / mActive)
                                : want);
        fill(wants);
    }

    private void fill(Map<InstanceId, Double> wants) {
        double sum = wants.values().stream().mapToDouble(Double::doubleValue).sum();
        if (sum <= 0) {
            return;
        }
        if (sum <= mTotalRate) {
            wants.forEach((instance, want) -> mRates.put(instance, want * mTotalRate / sum));
            return;
        }
        List<Map.Entry<InstanceId, Double>> rising =
                wants.entrySet().stream()
                        .sorted(Comparator.comparingDouble(Map.Entry::getValue))
                        .toList();
        double left = mTotalRate;
        int count = rising.size();
        for (Map.Entry<InstanceId, Double> each : rising) {
            double rate = Math.min(each.getValue(), left / count);
            mRates.put(each.getKey(), rate);
            left -= rate;
            count--;
        }
    }

    double rate(InstanceId instance) {
        return mRates.getOrDefault(instance, 0.0);
    }

    /** Returns the part of the whole, between 0 and 1. */
    double part(InstanceId instance) {
        return mTotalRate > 0 ? rate(instance) / mTotalRate : 0;
    }

    /** Returns one token for each active borrower as far as they go, and the rest by rate. */
    double capacity(InstanceId instance) {
        if (!mRates.containsKey(instance)) {
            return 0;
        }
        double least = Math.min(1, mTotalCapacity / mActive);
        return least + (mTotalCapacity - mActive * least) * part(instance);
    }

    /** Returns whether the part is so small that tokens are better lent one by one. */
    boolean isScarce(InstanceId instance) {
        return mActive > 1
                && mRates.containsKey(instance)
                && (capacity(instance) < SCARCE || rate(instance) < SLOW);
    }

    boolean isPair() {
        return mActive <= 2;
    }

    double reserve() {
        return mReserve;
    }

    double totalRate() {
        return mTotalRate;
    }
}
