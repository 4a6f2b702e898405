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
 * <p>At every moment the lent rates and capacities, in force or on their way, are at most those of
 * the valid deposits. What is not lent fills a pool of tokens, which is lent with later grants.
 */
final class WorkspaceAllocation {
    private static final long MINIMUM_GRANT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    // Counted from the sending of the request, so it must exceed a round trip; until it ends, the
    // capacity cannot be used elsewhere.
    private static final long TOKEN_GRANT_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    // A recall takes two messages, and the tokens then wait for the next request.
    private static final long RECALL_ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    // A caller waits for at most 100 ms, of which the messages need some.
    private static final long MAXIMUM_TOKEN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(90);

    // Kept for instances that have no grant yet, so that their first request is answered at once.
    private static final double RESERVE_FRACTION = 0.1;
    private static final double POOL_RATE_FRACTION = 0.05;

    // Smoothed demand varies by chance; only a clear surplus is worth a recall.
    private static final double RECALL_THRESHOLD_FACTOR = 1.25;

    /** Holds a grant and the borrowers from which more is wanted back. */
    record Allocation(ShareAnswer.Grant grant, List<InstanceId> recalled) {}

    private final Map<InstanceId, BorrowerState> mBorrowers = new LinkedHashMap<>();
    private SlotLimit mSlotLimit = SlotLimit.NONE;
    private double mPoolTokens;
    private long mNowNanos;

    WorkspaceAllocation(long nowNanos) {
        mNowNanos = nowNanos;
    }

    /** Moves the pool to the present, through every end of a deposit or grant on the way. */
    void advance(long nowNanos, SlotLimit terms) {
        List<Long> moments = new ArrayList<>();
        for (BorrowerState each : mBorrowers.values()) {
            each.addExpiryTimes(mNowNanos, nowNanos, moments);
        }
        Collections.sort(moments);
        if (nowNanos - mNowNanos > 0) {
            moments.add(nowNanos);
        }
        for (long moment : moments) {
            double seconds = (moment - mNowNanos) / ShareTiming.NANOS_PER_SECOND;
            double rate =
                    Math.max(
                            0,
                            depositedSlots(mNowNanos) * mSlotLimit.ratePerSecond() - grantedRate());
            mPoolTokens = Math.min(freeCapacity(), mPoolTokens + rate * seconds);
            mNowNanos = moment;
        }
        mSlotLimit = terms;
        mPoolTokens = Math.min(mPoolTokens, freeCapacity());
        mBorrowers.values().forEach(each -> each.removeExpired(mNowNanos));
    }

    /** Records the deposits and tokens of a request that echoes a valid nonce. */
    void recordDeposit(
            InstanceId instance, ShareRequest.Share share, long nonce, long depositExpiry) {
        BorrowerState borrower = borrower(instance);
        double freeBefore = freeCapacity();
        double refund = borrower.acknowledge(mNowNanos, nonce);
        borrower.deposit(share.depositedSlots(), depositExpiry);
        // Tokens count only up to the capacity that comes back with them: capacity that came back
        // earlier, by expiry, has been refilled since, and the same tokens would count twice.
        double gained = Math.max(0, freeCapacity() - freeBefore);
        double returned = Math.max(0, share.depositedTokens()) + refund;
        mPoolTokens =
                Math.min(Math.max(0, freeCapacity()), mPoolTokens + Math.min(gained, returned));
    }

    /** Prolongs the deposits of a borrower that still run and returns their number. */
    int renewDeposits(InstanceId instance, long depositExpiry) {
        BorrowerState borrower = mBorrowers.get(instance);
        return borrower == null ? 0 : borrower.renewDeposits(mNowNanos, depositExpiry);
    }

    /** Lends to a borrower what its demand justifies and others do not hold. */
    Allocation allocate(InstanceId instance, ShareRequest.Share share, long nonce) {
        BorrowerState borrower = borrower(instance);
        borrower.recordRequest(mNowNanos, share);
        long valid = grantLifetimeNanos();
        // A deposit that ends together with the grant counts.
        int slots = depositedSlots(mNowNanos + valid - 1);
        MaxMinDivision division =
                new MaxMinDivision(mNowNanos, mBorrowers, mSlotLimit, slots, RESERVE_FRACTION);
        ShareAnswer.Grant grant =
                division.isScarce(instance)
                        ? tokenGrant(share, borrower, slots)
                        : rateGrant(instance, share, borrower, division, slots, valid);
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
        long moreAfter =
                unserved ? retryAfterNanos(instance, share.grantTokens() + grant.tokens()) : 0;
        return new Allocation(grant.withRetryAfter(moreAfter), recalled);
    }

    /** Returns when a borrower without a whole token should ask again; 0 for not soon. */
    private long retryAfterNanos(InstanceId instance, double level) {
        if (isAnyRecalled(instance)) {
            return RECALL_ROUND_TRIP_NANOS;
        }
        double rate = depositedSlots(mNowNanos) * mSlotLimit.ratePerSecond() - grantedRate();
        double missing = 1 - level - mPoolTokens;
        double due =
                rate > 0
                        ? missing / rate * ShareTiming.NANOS_PER_SECOND
                        : MAXIMUM_TOKEN_WAIT_NANOS + 1;
        return due <= MAXIMUM_TOKEN_WAIT_NANOS ? Math.max(RECALL_ROUND_TRIP_NANOS, (long) due) : 0;
    }

    /** Lends tokens for waiting requests only, for a short time. */
    private ShareAnswer.Grant tokenGrant(
            ShareRequest.Share share, BorrowerState borrower, int slots) {
        double level = Math.max(0, share.grantTokens());
        double ownCapacity = borrower.grantedCapacity(mNowNanos);
        double free = freeCapacity(slots, ownCapacity);
        double tokens = Math.min(Math.max(0, share.waiting() - level), mPoolTokens);
        tokens = Math.max(0, Math.min(tokens, free - ownCapacity));
        if (share.waiting() == 0 || level + tokens < 1) {
            tokens = 0;
            level = 0;
        }
        double capacity = Math.min(free, level + tokens);
        return new ShareAnswer.Grant(
                share.workspace(), 0, capacity, tokens, TOKEN_GRANT_LIFETIME_NANOS, 0);
    }

    private ShareAnswer.Grant rateGrant(
            InstanceId instance,
            ShareRequest.Share share,
            BorrowerState borrower,
            MaxMinDivision division,
            int slots,
            long valid) {
        double level = Math.max(0, share.grantTokens());
        double ownCapacity = borrower.grantedCapacity(mNowNanos);
        double free = freeCapacity(slots, ownCapacity);
        double capacity = Math.min(free, division.capacity(instance));
        double mostRate = slots * mSlotLimit.ratePerSecond();
        double offered =
                Math.max(0, mPoolTokens - division.reserve()) * division.fraction(instance);
        if (share.waiting() > 0) {
            offered = mPoolTokens;
            capacity = Math.max(capacity, Math.min(free, level + Math.min(1, offered)));
        } else if (borrower.isRecalled(mNowNanos) && hasOtherWaitingBorrower(borrower)) {
            // Half of the tokens go to those who have none; repeated recalls take the rest.
            capacity = Math.min(capacity, level / 2);
            // The rate follows, or it would overflow the smaller bucket.
            mostRate = borrower.grantedRate(mNowNanos) / 2;
        }
        capacity = capacity < 1 ? 0 : capacity;
        double tokens = Math.min(offered, capacity - level);
        tokens = Math.max(0, Math.min(tokens, free - ownCapacity));
        double poolSpace = free - Math.max(capacity, ownCapacity + tokens) - (mPoolTokens - tokens);
        double freeRate =
                Math.max(
                        0,
                        slots * mSlotLimit.ratePerSecond()
                                - grantedRate()
                                + borrower.grantedRate(mNowNanos));
        // What neither the pool nor the one other borrower can take would be lost. Among more
        // borrowers this would set off recalls all the time.
        double idleRate =
                freeRate
                        - Math.max(0, poolSpace)
                                * ShareTiming.NANOS_PER_SECOND
                                / ShareTiming.REQUEST_PERIOD_NANOS;
        freeRate = Math.min(freeRate, mostRate);
        double rate = division.rate(instance) - poolFillRate(division, instance, poolSpace);
        rate = division.hasAtMostTwoBorrowers() ? Math.max(rate, idleRate) : rate;
        rate = capacity > 0 ? Math.max(0, Math.min(freeRate, rate)) : 0;
        return new ShareAnswer.Grant(share.workspace(), rate, capacity, tokens, valid, 0);
    }

    /** Returns the capacity that is not lent to others. */
    private double freeCapacity(int slots, double ownCapacity) {
        return Math.max(0, slots * mSlotLimit.capacity() - grantedCapacity() + ownCapacity);
    }

    private boolean hasOtherWaitingBorrower(BorrowerState borrower) {
        return mBorrowers.values().stream()
                .anyMatch(
                        each ->
                                each != borrower
                                        && each.hasWaitingRequests()
                                        && each.isActive(mNowNanos));
    }

    boolean isUnused(long nowNanos, long afterNanos) {
        mBorrowers.values().forEach(each -> each.removeExpired(nowNanos));
        mBorrowers
                .values()
                .removeIf(
                        each -> each.isEmpty() && nowNanos - each.lastRequestNanos() >= afterNanos);
        return mBorrowers.isEmpty();
    }

    /** Returns the rate that is held back to fill the pool, if it has space. */
    private double poolFillRate(MaxMinDivision division, InstanceId instance, double space) {
        double missing = Math.max(0, Math.min(space, division.reserve() - mPoolTokens));
        double perSecond =
                missing * ShareTiming.NANOS_PER_SECOND / (double) ShareTiming.REQUEST_PERIOD_NANOS;
        return Math.min(perSecond, POOL_RATE_FRACTION * division.totalRate())
                * division.fraction(instance);
    }

    private List<InstanceId> recall(
            InstanceId starving, MaxMinDivision division, boolean unserved) {
        List<InstanceId> recalled = new ArrayList<>();
        mBorrowers.forEach(
                (instance, each) -> {
                    boolean surplus =
                            each.grantedCapacity(mNowNanos)
                                            > division.capacity(instance) * RECALL_THRESHOLD_FACTOR
                                    || each.grantedRate(mNowNanos)
                                            > division.rate(instance) * RECALL_THRESHOLD_FACTOR
                                    || (unserved
                                            && !each.hasWaitingRequests()
                                            && each.grantedCapacity(mNowNanos) >= 2);
                    if (!instance.equals(starving) && surplus && each.tryRecall(mNowNanos)) {
                        recalled.add(instance);
                    }
                });
        return recalled;
    }

    private boolean isAnyRecalled(InstanceId starving) {
        return mBorrowers.entrySet().stream()
                .anyMatch(
                        entry ->
                                !entry.getKey().equals(starving)
                                        && entry.getValue().isRecalled(mNowNanos));
    }

    private long grantLifetimeNanos() {
        long shortest = ShareTiming.GRANT_LIFETIME_NANOS;
        for (BorrowerState each : mBorrowers.values()) {
            shortest = each.shortestDepositLifetime(mNowNanos, shortest);
        }
        return Math.max(MINIMUM_GRANT_LIFETIME_NANOS, shortest);
    }

    private BorrowerState borrower(InstanceId instance) {
        return mBorrowers.computeIfAbsent(instance, key -> new BorrowerState());
    }

    private int depositedSlots(long atNanos) {
        int slots = 0;
        for (BorrowerState each : mBorrowers.values()) {
            slots += each.runningDeposits(atNanos);
        }
        return slots;
    }

    private double grantedRate() {
        double rate = 0;
        for (BorrowerState each : mBorrowers.values()) {
            rate += each.grantedRate(mNowNanos);
        }
        return rate;
    }

    private double grantedCapacity() {
        double capacity = 0;
        for (BorrowerState each : mBorrowers.values()) {
            capacity += each.grantedCapacity(mNowNanos);
        }
        return capacity;
    }

    private double freeCapacity() {
        return Math.max(0, depositedSlots(mNowNanos) * mSlotLimit.capacity() - grantedCapacity());
    }
}
