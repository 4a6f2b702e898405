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
final class LendingBook {
    private static final long SHORTEST_GRANT = TimeUnit.MILLISECONDS.toNanos(600);

    // Counted from the sending of the request, so it must exceed a round trip; until it ends, the
    // capacity cannot be used elsewhere.
    private static final long SINGLE_TOKENS_VALID = TimeUnit.MILLISECONDS.toNanos(20);

    // A recall takes two messages, and the tokens then wait for the next request.
    private static final long RECALL_ANSWERED = TimeUnit.MILLISECONDS.toNanos(5);

    // A caller waits for at most 100 ms, of which the messages need some.
    private static final long LONGEST_DUE = TimeUnit.MILLISECONDS.toNanos(90);

    // Kept for instances that have no grant yet, so that their first request is answered at once.
    private static final double RESERVE_PART = 0.1;
    private static final double POOL_RATE_PART = 0.05;

    // Smoothed demand varies by chance; only a clear surplus is worth a recall.
    private static final double RECALL_FACTOR = 1.25;

    /** Holds a grant and the borrowers from which more is wanted back. */
    record Loan(ShareAnswer.Grant grant, List<InstanceId> recalled) {}

    private final Map<InstanceId, LentShare> mBorrowers = new LinkedHashMap<>();
    private SlotLimit mTerms = SlotLimit.NONE;
    private double mPool;
    private long mNow;

    LendingBook(long nowNanos) {
        mNow = nowNanos;
    }

    /** Moves the pool to the present, through every end of a deposit or grant on the way. */
    void advance(long nowNanos, SlotLimit terms) {
        List<Long> moments = new ArrayList<>();
        for (LentShare each : mBorrowers.values()) {
            each.addEnds(mNow, nowNanos, moments);
        }
        Collections.sort(moments);
        if (nowNanos - mNow > 0) {
            moments.add(nowNanos);
        }
        for (long moment : moments) {
            double seconds = (moment - mNow) / ShareTiming.NANOS_PER_SECOND;
            double rate = Math.max(0, depositedSlots(mNow) * mTerms.ratePerSecond() - lentRate());
            mPool = Math.min(freeCapacity(), mPool + rate * seconds);
            mNow = moment;
        }
        mTerms = terms;
        mPool = Math.min(mPool, freeCapacity());
        mBorrowers.values().forEach(each -> each.forgetEnded(mNow));
    }

    /** Records the deposits and tokens of a request that echoes a valid nonce. */
    void record(InstanceId instance, ShareRequest.Share share, long nonce, long depositExpiry) {
        LentShare borrower = borrower(instance);
        double freeBefore = freeCapacity();
        double refund = borrower.acknowledge(mNow, nonce);
        borrower.deposit(share.depositedSlots(), depositExpiry);
        // Tokens count only up to the capacity that comes back with them: capacity that came back
        // earlier, by expiry, has been refilled since, and the same tokens would count twice.
        double gained = Math.max(0, freeCapacity() - freeBefore);
        double returned = Math.max(0, share.depositedTokens()) + refund;
        mPool = Math.min(Math.max(0, freeCapacity()), mPool + Math.min(gained, returned));
    }

    /** Prolongs the deposits of a borrower that still run and returns their number. */
    int prolong(InstanceId instance, long depositExpiry) {
        LentShare borrower = mBorrowers.get(instance);
        return borrower == null ? 0 : borrower.prolong(mNow, depositExpiry);
    }

    /** Lends to a borrower what its demand justifies and others do not hold. */
    Loan lend(InstanceId instance, ShareRequest.Share share, long nonce) {
        LentShare borrower = borrower(instance);
        borrower.seen(mNow, share);
        long valid = validity();
        // A deposit that ends together with the grant counts.
        int slots = depositedSlots(mNow + valid - 1);
        Division division = new Division(mNow, mBorrowers, mTerms, slots, RESERVE_PART);
        ShareAnswer.Grant grant =
                division.isScarce(instance)
                        ? singleTokens(share, borrower, slots)
                        : standing(instance, share, borrower, division, slots, valid);
        boolean enough =
                grant.capacity() >= division.capacity(instance) / RECALL_FACTOR
                        && grant.ratePerSecond() >= division.rate(instance) / RECALL_FACTOR;
        boolean unserved = share.waiting() > 0 && share.grantTokens() + grant.tokens() < 1;
        List<InstanceId> recalled =
                unserved || (share.waiting() > 0 && !enough)
                        ? recall(instance, division, unserved)
                        : List.of();
        mPool -= grant.tokens();
        borrower.lend(nonce, grant, mNow);
        mPool = Math.max(0, Math.min(mPool, freeCapacity()));
        long moreAfter = unserved ? moreAfter(instance, share.grantTokens() + grant.tokens()) : 0;
        return new Loan(grant.withMoreAfter(moreAfter), recalled);
    }

    /** Returns when a borrower without a whole token should ask again; 0 for not soon. */
    private long moreAfter(InstanceId instance, double level) {
        if (isAnyRecalled(instance)) {
            return RECALL_ANSWERED;
        }
        double rate = depositedSlots(mNow) * mTerms.ratePerSecond() - lentRate();
        double missing = 1 - level - mPool;
        double due = rate > 0 ? missing / rate * ShareTiming.NANOS_PER_SECOND : LONGEST_DUE + 1;
        return due <= LONGEST_DUE ? Math.max(RECALL_ANSWERED, (long) due) : 0;
    }

    /** Lends tokens for waiting requests only, for a short time. */
    private ShareAnswer.Grant singleTokens(
            ShareRequest.Share share, LentShare borrower, int slots) {
        double level = Math.max(0, share.grantTokens());
        double ownCapacity = borrower.lentCapacity(mNow);
        double free = freeCapacity(slots, ownCapacity);
        double tokens = Math.min(Math.max(0, share.waiting() - level), mPool);
        tokens = Math.max(0, Math.min(tokens, free - ownCapacity));
        if (share.waiting() == 0 || level + tokens < 1) {
            tokens = 0;
            level = 0;
        }
        double capacity = Math.min(free, level + tokens);
        return new ShareAnswer.Grant(
                share.workspace(), 0, capacity, tokens, SINGLE_TOKENS_VALID, 0);
    }

    private ShareAnswer.Grant standing(
            InstanceId instance,
            ShareRequest.Share share,
            LentShare borrower,
            Division division,
            int slots,
            long valid) {
        double level = Math.max(0, share.grantTokens());
        double ownCapacity = borrower.lentCapacity(mNow);
        double free = freeCapacity(slots, ownCapacity);
        double capacity = Math.min(free, division.capacity(instance));
        double mostRate = slots * mTerms.ratePerSecond();
        double offered = Math.max(0, mPool - division.reserve()) * division.part(instance);
        if (share.waiting() > 0) {
            offered = mPool;
            capacity = Math.max(capacity, Math.min(free, level + Math.min(1, offered)));
        } else if (borrower.isRecalled(mNow) && isOtherStarving(borrower)) {
            // Half of the tokens go to those who have none; repeated recalls take the rest.
            capacity = Math.min(capacity, level / 2);
            // The rate follows, or it would overflow the smaller bucket.
            mostRate = borrower.lentRate(mNow) / 2;
        }
        capacity = capacity < 1 ? 0 : capacity;
        double tokens = Math.min(offered, capacity - level);
        tokens = Math.max(0, Math.min(tokens, free - ownCapacity));
        double poolSpace = free - Math.max(capacity, ownCapacity + tokens) - (mPool - tokens);
        double freeRate =
                Math.max(0, slots * mTerms.ratePerSecond() - lentRate() + borrower.lentRate(mNow));
        // What neither the pool nor the one other borrower can take would be lost. Among more
        // borrowers this would set off recalls all the time.
        double idleRate =
                freeRate
                        - Math.max(0, poolSpace)
                                * ShareTiming.NANOS_PER_SECOND
                                / ShareTiming.REQUEST_PERIOD;
        freeRate = Math.min(freeRate, mostRate);
        double rate = division.rate(instance) - poolRate(division, instance, poolSpace);
        rate = division.isPair() ? Math.max(rate, idleRate) : rate;
        rate = capacity > 0 ? Math.max(0, Math.min(freeRate, rate)) : 0;
        return new ShareAnswer.Grant(share.workspace(), rate, capacity, tokens, valid, 0);
    }

    /** Returns the capacity that is not lent to others. */
    private double freeCapacity(int slots, double ownCapacity) {
        return Math.max(0, slots * mTerms.capacity() - lentCapacity() + ownCapacity);
    }

    private boolean isOtherStarving(LentShare borrower) {
        return mBorrowers.values().stream()
                .anyMatch(each -> each != borrower && each.isStarving() && each.isActive(mNow));
    }

    boolean isAbandoned(long nowNanos, long afterNanos) {
        mBorrowers.values().forEach(each -> each.forgetEnded(nowNanos));
        mBorrowers
                .values()
                .removeIf(each -> each.isEmpty() && nowNanos - each.lastSeen() >= afterNanos);
        return mBorrowers.isEmpty();
    }

    /** Returns the rate that is held back to fill the pool, if it has space. */
    private double poolRate(Division division, InstanceId instance, double space) {
        double missing = Math.max(0, Math.min(space, division.reserve() - mPool));
        double perSecond =
                missing * ShareTiming.NANOS_PER_SECOND / (double) ShareTiming.REQUEST_PERIOD;
        return Math.min(perSecond, POOL_RATE_PART * division.totalRate()) * division.part(instance);
    }

    private List<InstanceId> recall(InstanceId starving, Division division, boolean unserved) {
        List<InstanceId> recalled = new ArrayList<>();
        mBorrowers.forEach(
                (instance, each) -> {
                    boolean surplus =
                            each.lentCapacity(mNow) > division.capacity(instance) * RECALL_FACTOR
                                    || each.lentRate(mNow) > division.rate(instance) * RECALL_FACTOR
                                    || (unserved
                                            && !each.isStarving()
                                            && each.lentCapacity(mNow) >= 2);
                    if (!instance.equals(starving) && surplus && each.recall(mNow)) {
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
                                        && entry.getValue().isRecalled(mNow));
    }

    private long validity() {
        long shortest = ShareTiming.GRANT;
        for (LentShare each : mBorrowers.values()) {
            shortest = each.shortestDeposit(mNow, shortest);
        }
        return Math.max(SHORTEST_GRANT, shortest);
    }

    private LentShare borrower(InstanceId instance) {
        return mBorrowers.computeIfAbsent(instance, key -> new LentShare());
    }

    private int depositedSlots(long atNanos) {
        int slots = 0;
        for (LentShare each : mBorrowers.values()) {
            slots += each.deposits(atNanos);
        }
        return slots;
    }

    private double lentRate() {
        double rate = 0;
        for (LentShare each : mBorrowers.values()) {
            rate += each.lentRate(mNow);
        }
        return rate;
    }

    private double lentCapacity() {
        double capacity = 0;
        for (LentShare each : mBorrowers.values()) {
            capacity += each.lentCapacity(mNow);
        }
        return capacity;
    }

    private double freeCapacity() {
        return Math.max(0, depositedSlots(mNow) * mTerms.capacity() - lentCapacity());
    }
}
