package org.plantainferry.engine.limit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainferry.api.InstanceId;

/** Divides rate and capacity among the active borrowers with max-min fairness by demand. */
final class MaxMinDivision {
    // Demand is averaged over 200 ms; the headroom covers its growth until the next request.
    private static final double DEMAND_HEADROOM_FACTOR = 1.25;

    private static final double SCARCE_CAPACITY_TOKENS = 3;

    // Below this rate, asking the allocator for each token is cheap, and tokens spread over many
    // buckets would be missing at the instance where the next request arrives.
    private static final double SCARCE_RATE_PER_SECOND = 15;

    private final Map<InstanceId, Double> mRatesPerSecond = new HashMap<>();
    private final double mTotalRatePerSecond;
    private final double mSharedCapacity;
    private final double mReserveTokens;
    private final int mActiveBorrowers;

    MaxMinDivision(
            long nowNanos,
            Map<InstanceId, BorrowerState> borrowers,
            SlotLimit slotLimit,
            int slots,
            double reserveFraction) {
        mTotalRatePerSecond = slots * slotLimit.ratePerSecond();
        Map<InstanceId, Double> demands = new HashMap<>();
        borrowers.forEach(
                (instance, borrower) -> {
                    if (borrower.isActive(nowNanos)) {
                        demands.put(instance, borrower.demandPerSecond() * DEMAND_HEADROOM_FACTOR);
                    }
                });
        mActiveBorrowers = demands.size();
        // With a single borrower, a reserve would only reduce the burst; a second borrower gets its
        // tokens through a recall.
        mReserveTokens = mActiveBorrowers > 1 ? slots * slotLimit.capacity() * reserveFraction : 0;
        mSharedCapacity = slots * slotLimit.capacity() - mReserveTokens;
        // The smoothed demand of a borrower with waiting requests lags behind the actual demand, so
        // it counts as at least an equal share.
        demands.replaceAll(
                (instance, demand) ->
                        borrowers.get(instance).hasWaitingRequests()
                                ? Math.max(demand, mTotalRatePerSecond / mActiveBorrowers)
                                : demand);
        divideRate(demands);
    }

    private void divideRate(Map<InstanceId, Double> demands) {
        double sum = demands.values().stream().mapToDouble(Double::doubleValue).sum();
        if (sum <= 0) {
            return;
        }
        if (sum <= mTotalRatePerSecond) {
            demands.forEach(
                    (instance, demand) ->
                            mRatesPerSecond.put(instance, demand * mTotalRatePerSecond / sum));
            return;
        }
        List<Map.Entry<InstanceId, Double>> ascending =
                demands.entrySet().stream()
                        .sorted(Comparator.comparingDouble(Map.Entry::getValue))
                        .toList();
        double remaining = mTotalRatePerSecond;
        int remainingBorrowers = ascending.size();
        for (Map.Entry<InstanceId, Double> entry : ascending) {
            double rate = Math.min(entry.getValue(), remaining / remainingBorrowers);
            mRatesPerSecond.put(entry.getKey(), rate);
            remaining -= rate;
            remainingBorrowers--;
        }
    }

    double rate(InstanceId instance) {
        return mRatesPerSecond.getOrDefault(instance, 0.0);
    }

    /** Returns the borrower's fraction of the total rate, between 0 and 1. */
    double fraction(InstanceId instance) {
        return mTotalRatePerSecond > 0 ? rate(instance) / mTotalRatePerSecond : 0;
    }

    /**
     * Returns the capacity of a borrower: one token, or an equal share if there are fewer tokens
     * than active borrowers, and the rest in proportion to the rate. Returns 0 if it is inactive.
     */
    double capacity(InstanceId instance) {
        if (!mRatesPerSecond.containsKey(instance)) {
            return 0;
        }
        double base = Math.min(1, mSharedCapacity / mActiveBorrowers);
        return base + (mSharedCapacity - mActiveBorrowers * base) * fraction(instance);
    }

    /** Returns whether the share is so small that tokens should be granted individually. */
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
