package org.plantainferry.engine.limit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainferry.api.InstanceId;

/** Divides rate and capacity among active borrowers, max-min fair by demand. */
final class MaxMinDivision {
    // Demand is an average over 200 ms; the surplus covers its growth until the next request.
    private static final double DEMAND_HEADROOM_FACTOR = 1.25;

    private static final double SCARCE_CAPACITY_TOKENS = 3;

    // Below this rate an ask for each request costs little, and tokens spread over many buckets
    // would be missing where the next request arrives.
    private static final double SCARCE_RATE_PER_SECOND = 15;

    private final Map<InstanceId, Double> mRatesPerSecond = new HashMap<>();
    private final double mTotalRatePerSecond;
    private final double mSharedCapacity;
    private final double mReserveTokens;
    private final int mActiveBorrowers;

    MaxMinDivision(
            long nowNanos,
            Map<InstanceId, BorrowerState> borrowers,
            SlotLimit terms,
            int slots,
            double reservePart) {
        mTotalRatePerSecond = slots * terms.ratePerSecond();
        Map<InstanceId, Double> wants = new HashMap<>();
        borrowers.forEach(
                (instance, share) -> {
                    if (share.isActive(nowNanos)) {
                        wants.put(instance, share.demandPerSecond() * DEMAND_HEADROOM_FACTOR);
                    }
                });
        mActiveBorrowers = wants.size();
        // Without competition a reserve would only make the burst smaller; a second borrower gets
        // its tokens by a recall.
        mReserveTokens = mActiveBorrowers > 1 ? slots * terms.capacity() * reservePart : 0;
        mSharedCapacity = slots * terms.capacity() - mReserveTokens;
        // A starving borrower's smoothed demand lags behind, so it counts as an equal part.
        wants.replaceAll(
                (instance, want) ->
                        borrowers.get(instance).hasWaitingRequests()
                                ? Math.max(want, mTotalRatePerSecond / mActiveBorrowers)
                                : want);
        divideRate(wants);
    }

    private void divideRate(Map<InstanceId, Double> wants) {
        double sum = wants.values().stream().mapToDouble(Double::doubleValue).sum();
        if (sum <= 0) {
            return;
        }
        if (sum <= mTotalRatePerSecond) {
            wants.forEach(
                    (instance, want) ->
                            mRatesPerSecond.put(instance, want * mTotalRatePerSecond / sum));
            return;
        }
        List<Map.Entry<InstanceId, Double>> rising =
                wants.entrySet().stream()
                        .sorted(Comparator.comparingDouble(Map.Entry::getValue))
                        .toList();
        double left = mTotalRatePerSecond;
        int count = rising.size();
        for (Map.Entry<InstanceId, Double> each : rising) {
            double rate = Math.min(each.getValue(), left / count);
            mRatesPerSecond.put(each.getKey(), rate);
            left -= rate;
            count--;
        }
    }

    double rate(InstanceId instance) {
        return mRatesPerSecond.getOrDefault(instance, 0.0);
    }

    /** Returns the part of the whole, between 0 and 1. */
    double fraction(InstanceId instance) {
        return mTotalRatePerSecond > 0 ? rate(instance) / mTotalRatePerSecond : 0;
    }

    /** Returns one token for each active borrower as far as they go, and the rest by rate. */
    double capacity(InstanceId instance) {
        if (!mRatesPerSecond.containsKey(instance)) {
            return 0;
        }
        double least = Math.min(1, mSharedCapacity / mActiveBorrowers);
        return least + (mSharedCapacity - mActiveBorrowers * least) * fraction(instance);
    }

    /** Returns whether the part is so small that tokens are better lent one by one. */
    boolean isScarce(InstanceId instance) {
        return mActiveBorrowers > 1
                && mRatesPerSecond.containsKey(instance)
                && (capacity(instance) < SCARCE_CAPACITY_TOKENS
                        || rate(instance) < SCARCE_RATE_PER_SECOND);
    }

    boolean hasAtMostTwoBorrowers() {
        return mActiveBorrowers <= 2;
    }

    double reserve() {
        return mReserveTokens;
    }

    double totalRate() {
        return mTotalRatePerSecond;
    }
}
