package org.plantainferry.engine.limit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.InstanceId;

/**
 * Divides the deposited slots of one workspace among its borrowers.
 *
 * <p>The sum of all granted rates and capacities, including grants that are still in transit, never
 * exceeds that of the valid deposits. Capacity that is not granted accumulates tokens in a pool,
 * from which later grants are served.
 */
final class WorkspaceAllocation {
    private static final long MINIMUM_GRANT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    // The borrower counts from the time at which it sent the request, so the lifetime must exceed a
    // round trip. Until it ends, the capacity cannot be granted to another borrower.
    private static final long TOKEN_GRANT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    // A recall takes two messages; the returned tokens are granted with the next request.
    private static final long RECALL_ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    // A caller waits for at most 100 ms, which includes the time for the messages.
    private static final long MAXIMUM_TOKEN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(90);

    // Reserved for instances without a grant, so that their first request is served at once.
    private static final double RESERVE_FRACTION = 0.1;
    private static final double POOL_RATE_FRACTION = 0.05;

    // Smoothed demand fluctuates randomly; only a clear surplus justifies a recall.
    private static final double RECALL_THRESHOLD_FACTOR = 1.25;

    /** Contains a grant and the borrowers that should return tokens early. */
    record Allocation(ShareAnswer.Grant grant, List<InstanceId> recalled) {}

    private final Map<InstanceId, BorrowerState> mBorrowers = new LinkedHashMap<>();
    private SlotLimit mSlotLimit = SlotLimit.NONE;
    private double mPoolTokens;
    private long mNowNanos;

    WorkspaceAllocation(long nowNanos) {
        mNowNanos = nowNanos;
    }

    /**
     * Updates the pool to the current time, accounting for each deposit and grant that expired in
     * between.
     */
    void advance(long nowNanos, SlotLimit slotLimit) {
        List<Long> expiryTimes = new ArrayList<>();
        for (BorrowerState borrower : mBorrowers.values()) {
            borrower.addExpiryTimes(mNowNanos, nowNanos, expiryTimes);
        }
        Collections.sort(expiryTimes);
        if (nowNanos - mNowNanos > 0) {
            expiryTimes.add(nowNanos);
        }
        for (long timeNanos : expiryTimes) {
            double seconds = (timeNanos - mNowNanos) / ShareTiming.NANOS_PER_SECOND;
            double rate =
                    Math.max(
                            0,
                            depositedSlots(mNowNanos) * mSlotLimit.ratePerSecond() - grantedRate());
            mPoolTokens = Math.min(freeCapacity(), mPoolTokens + rate * seconds);
            mNowNanos = timeNanos;
        }
        mSlotLimit = slotLimit;
        mPoolTokens = Math.min(mPoolTokens, freeCapacity());
        mBorrowers.values().forEach(borrower -> borrower.removeExpired(mNowNanos));
    }

    /** Records the deposits and tokens of a request that echoes a valid nonce. */
    void recordDeposit(
            InstanceId instance, ShareRequest.Share share, long nonce, long depositExpiry) {
        BorrowerState borrower = borrower(instance);
        double freeBefore = freeCapacity();
        double refund = borrower.acknowledge(mNowNanos, nonce);
        borrower.deposit(share.depositedSlots(), depositExpiry);
        // Returned tokens count only up to the capacity that becomes free in this call. Capacity
        // that became free by expiry has been refilled since, so its tokens would count twice.
        double freedCapacity = Math.max(0, freeCapacity() - freeBefore);
        double returnedTokens = Math.max(0, share.depositedTokens()) + refund;
        mPoolTokens =
                Math.min(
                        Math.max(0, freeCapacity()),
                        mPoolTokens + Math.min(freedCapacity, returnedTokens));
    }

    /** Renews the deposits of a borrower that have not expired and returns their number. */
    int renewDeposits(InstanceId instance, long depositExpiry) {
        BorrowerState borrower = mBorrowers.get(instance);
        return borrower == null ? 0 : borrower.renewDeposits(mNowNanos, depositExpiry);
    }

    /**
     * Creates a grant for a borrower according to its demand and the capacity that others do not
     * hold, and recalls tokens from others if the borrower's requests cannot be served.
     */
    Allocation allocate(InstanceId instance, ShareRequest.Share share, long nonce) {
        BorrowerState borrower = borrower(instance);
        borrower.recordRequest(mNowNanos, share);
        long lifetimeNanos = grantLifetimeNanos();
        // Includes deposits that expire at the same time as the grant.
        int slots = depositedSlots(mNowNanos + lifetimeNanos - 1);
        MaxMinDivision division =
                new MaxMinDivision(mNowNanos, mBorrowers, mSlotLimit, slots, RESERVE_FRACTION);
        ShareAnswer.Grant grant =
                division.isScarce(instance)
                        ? tokenGrant(share, borrower, slots)
                        : rateGrant(instance, share, borrower, division, slots, lifetimeNanos);
        boolean enough =
                grant.capacity() >= division.capacity(instance) / RECALL_THRESHOLD_FACTOR
                        && grant.ratePerSecond()
                                >= division.rate(instance) / RECALL_THRESHOLD_FACTOR;
        boolean unserved = share.waiting() > 0 && share.grantTokens() + grant.tokens() < 1;
        List<InstanceId> recalled =
                unserved || (share.waiting() > 0 && !enough)
                        ? recall(instance, division, unserved)
                        : List.of();
        mPoolTokens -= grant.tokens();
        borrower.addGrant(nonce, grant, mNowNanos);
        mPoolTokens = Math.max(0, Math.min(mPoolTokens, freeCapacity()));
        long retryAfter =
                unserved ? retryAfterNanos(instance, share.grantTokens() + grant.tokens()) : 0;
        return new Allocation(grant.withRetryAfter(retryAfter), recalled);
    }

    /**
     * Returns the time after which a borrower without a whole token should ask again, or 0 if no
     * token is expected soon.
     */
    private long retryAfterNanos(InstanceId instance, double heldTokens) {
        if (isAnyRecalled(instance)) {
            return RECALL_ROUND_TRIP_NANOS;
        }
        double rate = depositedSlots(mNowNanos) * mSlotLimit.ratePerSecond() - grantedRate();
        double missing = 1 - heldTokens - mPoolTokens;
        double due =
                rate > 0
                        ? missing / rate * ShareTiming.NANOS_PER_SECOND
                        : MAXIMUM_TOKEN_WAIT_NANOS + 1;
        return due <= MAXIMUM_TOKEN_WAIT_NANOS ? Math.max(RECALL_ROUND_TRIP_NANOS, (long) due) : 0;
    }

    /** Creates a short-lived grant without a rate, with tokens for the waiting requests only. */
    private ShareAnswer.Grant tokenGrant(
            ShareRequest.Share share, BorrowerState borrower, int slots) {
        double heldTokens = Math.max(0, share.grantTokens());
        double ownCapacity = borrower.grantedCapacity(mNowNanos);
        double free = freeCapacity(slots, ownCapacity);
        double tokens = Math.min(Math.max(0, share.waiting() - heldTokens), mPoolTokens);
        tokens = Math.max(0, Math.min(tokens, free - ownCapacity));
        if (share.waiting() == 0 || heldTokens + tokens < 1) {
            tokens = 0;
            heldTokens = 0;
        }
        double capacity = Math.min(free, heldTokens + tokens);
        return new ShareAnswer.Grant(
                share.workspace(), 0, capacity, tokens, TOKEN_GRANT_LIFETIME_NANOS, 0);
    }

    /** Creates a grant with a rate, a capacity and tokens according to the division. */
    private ShareAnswer.Grant rateGrant(
            InstanceId instance,
            ShareRequest.Share share,
            BorrowerState borrower,
            MaxMinDivision division,
            int slots,
            long lifetimeNanos) {
        double heldTokens = Math.max(0, share.grantTokens());
        double ownCapacity = borrower.grantedCapacity(mNowNanos);
        double free = freeCapacity(slots, ownCapacity);
        double capacity = Math.min(free, division.capacity(instance));
        double maximumRate = slots * mSlotLimit.ratePerSecond();
        double availableTokens =
                Math.max(0, mPoolTokens - division.reserve()) * division.fraction(instance);
        if (share.waiting() > 0) {
            availableTokens = mPoolTokens;
            capacity =
                    Math.max(capacity, Math.min(free, heldTokens + Math.min(1, availableTokens)));
        } else if (borrower.isRecalled(mNowNanos) && hasOtherWaitingBorrower(borrower)) {
            // Takes back half of the tokens for waiting borrowers; later recalls take the rest.
            capacity = Math.min(capacity, heldTokens / 2);
            // Halves the rate too, because it would overflow the smaller bucket otherwise.
            maximumRate = borrower.grantedRate(mNowNanos) / 2;
        }
        capacity = capacity < 1 ? 0 : capacity;
        double tokens = Math.min(availableTokens, capacity - heldTokens);
        tokens = Math.max(0, Math.min(tokens, free - ownCapacity));
        double poolSpace = free - Math.max(capacity, ownCapacity + tokens) - (mPoolTokens - tokens);
        double freeRate =
                Math.max(
                        0,
                        slots * mSlotLimit.ratePerSecond()
                                - grantedRate()
                                + borrower.grantedRate(mNowNanos));
        // Grants the rate that neither the pool nor a single other borrower can use and that would
        // be lost otherwise. With more borrowers, this would cause continual recalls.
        double idleRate =
                freeRate
                        - Math.max(0, poolSpace)
                                * ShareTiming.NANOS_PER_SECOND
                                / ShareTiming.REQUEST_PERIOD_NANOS;
        freeRate = Math.min(freeRate, maximumRate);
        double rate = division.rate(instance) - poolFillRate(division, instance, poolSpace);
        rate = division.hasAtMostTwoBorrowers() ? Math.max(rate, idleRate) : rate;
        rate = capacity > 0 ? Math.max(0, Math.min(freeRate, rate)) : 0;
        return new ShareAnswer.Grant(share.workspace(), rate, capacity, tokens, lifetimeNanos, 0);
    }

    /** Returns the capacity that is not granted to other borrowers. */
    private double freeCapacity(int slots, double ownCapacity) {
        return Math.max(0, slots * mSlotLimit.capacity() - grantedCapacity() + ownCapacity);
    }

    private boolean hasOtherWaitingBorrower(BorrowerState borrower) {
        return mBorrowers.values().stream()
                .anyMatch(
                        other ->
                                other != borrower
                                        && other.hasWaitingRequests()
                                        && other.isActive(mNowNanos));
    }

    /** Returns whether no borrower has a deposit, a grant or a request in the given period. */
    boolean isUnused(long nowNanos, long afterNanos) {
        mBorrowers.values().forEach(borrower -> borrower.removeExpired(nowNanos));
        mBorrowers
                .values()
                .removeIf(
                        borrower ->
                                borrower.isEmpty()
                                        && nowNanos - borrower.lastRequestNanos() >= afterNanos);
        return mBorrowers.isEmpty();
    }

    /** Returns the rate withheld from a borrower to fill the pool up to the reserve. */
    private double poolFillRate(MaxMinDivision division, InstanceId instance, double space) {
        double missing = Math.max(0, Math.min(space, division.reserve() - mPoolTokens));
        double perSecond =
                missing * ShareTiming.NANOS_PER_SECOND / (double) ShareTiming.REQUEST_PERIOD_NANOS;
        return Math.min(perSecond, POOL_RATE_FRACTION * division.totalRate())
                * division.fraction(instance);
    }

    private List<InstanceId> recall(
            InstanceId waitingBorrower, MaxMinDivision division, boolean unserved) {
        List<InstanceId> recalled = new ArrayList<>();
        mBorrowers.forEach(
                (instance, borrower) -> {
                    boolean surplus =
                            borrower.grantedCapacity(mNowNanos)
                                            > division.capacity(instance) * RECALL_THRESHOLD_FACTOR
                                    || borrower.grantedRate(mNowNanos)
                                            > division.rate(instance) * RECALL_THRESHOLD_FACTOR
                                    || (unserved
                                            && !borrower.hasWaitingRequests()
                                            && borrower.grantedCapacity(mNowNanos) >= 2);
                    if (!instance.equals(waitingBorrower)
                            && surplus
                            && borrower.tryRecall(mNowNanos)) {
                        recalled.add(instance);
                    }
                });
        return recalled;
    }

    private boolean isAnyRecalled(InstanceId waitingBorrower) {
        return mBorrowers.entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(waitingBorrower)
                                        && entry.getValue().isRecalled(mNowNanos));
    }

    private long grantLifetimeNanos() {
        long shortest = ShareTiming.GRANT_LIFETIME_NANOS;
        for (BorrowerState borrower : mBorrowers.values()) {
            shortest = borrower.shortestDepositLifetime(mNowNanos, shortest);
        }
        return Math.max(MINIMUM_GRANT_LIFETIME_NANOS, shortest);
    }

    private BorrowerState borrower(InstanceId instance) {
        return mBorrowers.computeIfAbsent(instance, key -> new BorrowerState());
    }

    private int depositedSlots(long atNanos) {
        int slots = 0;
        for (BorrowerState borrower : mBorrowers.values()) {
            slots += borrower.runningDeposits(atNanos);
        }
        return slots;
    }

    private double grantedRate() {
        double rate = 0;
        for (BorrowerState borrower : mBorrowers.values()) {
            rate += borrower.grantedRate(mNowNanos);
        }
        return rate;
    }

    private double grantedCapacity() {
        double capacity = 0;
        for (BorrowerState borrower : mBorrowers.values()) {
            capacity += borrower.grantedCapacity(mNowNanos);
        }
        return capacity;
    }

    private double freeCapacity() {
        return Math.max(0, depositedSlots(mNowNanos) * mSlotLimit.capacity() - grantedCapacity());
    }
}
