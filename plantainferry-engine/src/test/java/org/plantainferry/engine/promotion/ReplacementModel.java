package org.plantainferry.engine.promotion;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.promotion.FenceRound.Decision;

/**
 * Plays replacements of one group's primary at random: several instances, one store, a platform
 * that carries orders out late, servers that go on leading, and instances that freeze, restart, are
 * cut off from each other or from the store.
 *
 * <p>It uses the decisions of the engine; a mutation takes one of them out.
 */
final class ReplacementModel {
    /** Says what is taken out of the protocol. */
    enum Mutation {
        NONE,
        /** Orders as soon as a majority has confirmed, whatever leases the others hold. */
        SKIP_LEASE_WAIT,
        /** Believes every server that says it leads. */
        ACCEPT_EVERY_PRIMARY,
        /** Orders any server while an earlier order may still be carried out. */
        IGNORE_PENDING_ORDERS
    }

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long STEP_NANOS = 50 * NANOS_PER_MILLI;
    private static final int STEPS = 600;
    private static final int INSTANCES = 5;
    private static final int SERVERS = 3;
    private static final long FOREIGN_CLAIM_TIMEOUT_NANOS = 2_500 * NANOS_PER_MILLI;
    private static final long MAX_BLOCK_AGE_NANOS = 3_000 * NANOS_PER_MILLI;
    private static final long MAX_ORDER_DELAY_NANOS = 6_000 * NANOS_PER_MILLI;
    private static final long ORDER_DELAY_RANGE_MILLIS = 4_500;

    /** Holds the claim at the store. */
    private record Claim(
            int holder,
            long token,
            boolean open,
            PromotionOrder newestOrder,
            boolean unansweredPromotion) {}

    private record ScheduledPromotion(String server, long atNanos) {}

    private static final class Server {
        private String mId;
        private boolean mPrimary;
        private long mTerm;
    }

    private enum Phase {
        IDLE,
        BLOCKING,
        ORDERED
    }

    /** Models one instance. */
    private final class Instance {
        private final int mNumber;
        private GroupFence mFence;
        private boolean mHasReadClaim;
        private boolean mClaimOpen;
        private long mQuorumLeaseUntilNanos;
        private long mStoreLeaseUntilNanos;
        private String mVerifiedServer;
        private long mVerifiedTerm;
        private long mFrozenUntilNanos;
        private long mBlockedSinceNanos;
        private Phase mPhase;
        private FenceRound mFenceRound;
        private PromotionOrder mNewestOrder;
        private long mReplacementToken;
        private long mPendingToken;
        private long mPendingSinceNanos;
        private boolean mUnansweredPromotion;

        Instance(int number) {
            mNumber = number;
            restart();
        }

        private void restart() {
            mFence = GroupFence.NONE;
            mHasReadClaim = false;
            mClaimOpen = true;
            mQuorumLeaseUntilNanos = mNowNanos;
            mStoreLeaseUntilNanos = mNowNanos;
            mVerifiedServer = "";
            mPhase = Phase.IDLE;
            mPendingToken = -1;
        }

        private void mergeFence(GroupFence news) {
            GroupFence joined = mFence.merge(news);
            if (joined.token() != mFence.token() && joined.blocked()) {
                mBlockedSinceNanos = mNowNanos;
            }
            mFence = joined;
        }

        private void readClaim() {
            long sent = mNowNanos;
            mClaimOpen = mClaim.open;
            mergeFence(new GroupFence(0, false, mClaim.newestOrder));
            mHasReadClaim = true;
            mStoreLeaseUntilNanos = sent + QuorumLease.LEASE_NANOS;
        }

        private void exchangeFences() {
            int heard = 1;
            for (Instance other : mInstances) {
                if (other != this && canReach(this, other)) {
                    heard++;
                    mergeFence(other.mFence);
                    other.mergeFence(mFence);
                }
            }
            if (heard > INSTANCES / 2) {
                mQuorumLeaseUntilNanos = mNowNanos + QuorumLease.LEASE_NANOS;
            }
        }

        private void verifyRandomServer() {
            Server server = mServers.get(mRandom.nextInt(SERVERS));
            if (server.mPrimary && mFence.newestOrder().acceptsPrimary(server.mId, server.mTerm)) {
                mVerifiedServer = server.mId;
                mVerifiedTerm = server.mTerm;
            }
        }

        private boolean mayUseAsPrimary(Server server) {
            boolean isHeld =
                    mNowNanos < mQuorumLeaseUntilNanos
                            || (mNowNanos < mStoreLeaseUntilNanos && !mClaimOpen);
            if (!mHasReadClaim || !isHeld || !server.mPrimary || mFence.blocked()) {
                return false;
            }
            PromotionOrder succession = mFence.newestOrder();
            if (succession.server().isEmpty() || mMutation == Mutation.ACCEPT_EVERY_PRIMARY) {
                return true;
            }
            boolean isVerified =
                    server.mId.equals(mVerifiedServer)
                            && succession.acceptsPrimary(mVerifiedServer, mVerifiedTerm);
            boolean isNamed = succession.term() > 0 && server.mId.equals(succession.server());
            return isVerified || isNamed;
        }

        private void beginReplacement() {
            boolean isForeign = mClaim.open && mClaim.holder != mNumber;
            if (isForeign && mNowNanos - mClaimWrittenNanos < FOREIGN_CLAIM_TIMEOUT_NANOS) {
                return;
            }
            mUnansweredPromotion = mClaim.unansweredPromotion || mClaim.newestOrder.isPending();
            mClaim =
                    new Claim(
                            mNumber,
                            mClaim.token + 1,
                            true,
                            mClaim.newestOrder,
                            mUnansweredPromotion);
            mClaimWrittenNanos = mNowNanos;
            mNewestOrder = mClaim.newestOrder;
            mReplacementToken = mClaim.token;
            Set<String> others = new HashSet<>();
            for (int other = 0; other < INSTANCES; other++) {
                others.add("i" + other);
            }
            others.remove("i" + mNumber);
            mFenceRound = new FenceRound(others, mNowNanos);
            mergeFence(mFence.withAnnounced(mReplacementToken));
            mPhase = Phase.BLOCKING;
        }

        private void continueFenceRound() {
            int confirmed = 1;
            for (Instance other : mInstances) {
                if (other != this && canReach(this, other)) {
                    other.mergeFence(mFence);
                    confirmed++;
                    mFenceRound.onConfirmed("i" + other.mNumber, mNowNanos);
                }
            }
            boolean isHasty = mMutation == Mutation.SKIP_LEASE_WAIT && confirmed > INSTANCES / 2;
            Decision decision = isHasty ? Decision.ORDER : mFenceRound.decide(mNowNanos);
            if (decision == Decision.GIVE_UP) {
                endReplacement();
            } else if (decision == Decision.ORDER) {
                sendOrder();
            }
        }

        private boolean ownsClaim() {
            return mClaim.holder == mNumber && mClaim.open && canReachStore(this);
        }

        private Optional<Integer> chooseCandidate() {
            int chosen = mRandom.nextInt(SERVERS);
            boolean isUncertain = mNewestOrder.isPending() || mUnansweredPromotion;
            if (!isUncertain || mMutation == Mutation.IGNORE_PENDING_ORDERS) {
                return Optional.of(chosen).filter(each -> !mServers.get(each).mPrimary);
            }
            if (mPendingToken != mNewestOrder.token()) {
                mPendingToken = mNewestOrder.token();
                mPendingSinceNanos = mNowNanos;
            }
            boolean isSame = mServers.get(chosen).mId.equals(mNewestOrder.server());
            boolean isOver = mNowNanos - mPendingSinceNanos >= MAX_ORDER_DELAY_NANOS;
            mUnansweredPromotion &= !isOver;
            return Optional.of(chosen)
                    .filter(each -> isSame || isOver)
                    .filter(each -> !mServers.get(each).mPrimary);
        }

        private void sendOrder() {
            Optional<Integer> candidate = chooseCandidate();
            boolean isOld = mNowNanos - mBlockedSinceNanos > MAX_BLOCK_AGE_NANOS;
            if (candidate.isEmpty() || !ownsClaim() || isOld) {
                endReplacement();
                return;
            }
            String id = mServers.get(candidate.get()).mId;
            mNewestOrder = new PromotionOrder(mClaim.token + 1, id, 0);
            mClaim = new Claim(mNumber, mClaim.token + 1, true, mNewestOrder, mUnansweredPromotion);
            mClaimWrittenNanos = mNowNanos;
            mergeFence(mFence.withReleased(mReplacementToken, mNewestOrder));
            long delay = 300 + mRandom.nextInt((int) ORDER_DELAY_RANGE_MILLIS);
            if (mRandom.nextInt(5) > 0) {
                mScheduledPromotions.add(
                        new ScheduledPromotion(id, mNowNanos + delay * NANOS_PER_MILLI));
            }
            mPhase = Phase.ORDERED;
        }

        private void awaitPromotion() {
            for (Server server : mServers) {
                if (server.mId.equals(mNewestOrder.server()) && server.mPrimary) {
                    mNewestOrder =
                            new PromotionOrder(
                                    mNewestOrder.token(), mNewestOrder.server(), server.mTerm);
                    endReplacement();
                    return;
                }
            }
            if (mRandom.nextInt(80) == 0) {
                endReplacement();
            }
        }

        private void endReplacement() {
            mergeFence(mFence.withReleased(mReplacementToken, mNewestOrder));
            if (ownsClaim()) {
                mClaim =
                        new Claim(mNumber, mClaim.token, false, mNewestOrder, mUnansweredPromotion);
                mClaimWrittenNanos = mNowNanos;
            }
            mPhase = Phase.IDLE;
        }

        private void runStep() {
            if (mNowNanos < mFrozenUntilNanos) {
                return;
            }
            if (canReachStore(this) && (!mHasReadClaim || mRandom.nextInt(8) == 0)) {
                readClaim();
            }
            if (mRandom.nextInt(3) == 0) {
                exchangeFences();
            }
            if (mRandom.nextInt(3) == 0) {
                verifyRandomServer();
            }
            switch (mPhase) {
                case BLOCKING -> continueFenceRound();
                case ORDERED -> awaitPromotion();
                default -> {
                    if (canReachStore(this) && mRandom.nextInt(120) == 0) {
                        beginReplacement();
                    }
                }
            }
        }
    }

    private final Random mRandom;
    private final Mutation mMutation;
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Server> mServers = new ArrayList<>();
    private final List<ScheduledPromotion> mScheduledPromotions = new ArrayList<>();
    private final Set<Integer> mPartitioned = new HashSet<>();
    private final Set<Integer> mWithoutStoreAccess = new HashSet<>();
    private Claim mClaim = new Claim(-1, 0, false, PromotionOrder.NONE, false);
    private long mClaimWrittenNanos;
    private long mNowNanos = 10_000 * NANOS_PER_MILLI;
    private int mNextServerNumber;
    private int mPromotions;
    private int mPrimaryUses;

    ReplacementModel(long seed, Mutation mutation) {
        mRandom = new Random(seed);
        mMutation = mutation;
        for (int number = 0; number < SERVERS; number++) {
            Server server = new Server();
            server.mId = "s" + mNextServerNumber++;
            server.mTerm = 1;
            server.mPrimary = number == 0;
            mServers.add(server);
        }
        for (int number = 0; number < INSTANCES; number++) {
            mInstances.add(new Instance(number));
        }
    }

    private boolean canReach(Instance one, Instance other) {
        boolean isAwake =
                mNowNanos >= one.mFrozenUntilNanos && mNowNanos >= other.mFrozenUntilNanos;
        boolean isLost = mRandom.nextInt(12) == 0;
        return isAwake
                && !isLost
                && mPartitioned.contains(one.mNumber) == mPartitioned.contains(other.mNumber);
    }

    private boolean canReachStore(Instance instance) {
        return !mWithoutStoreAccess.contains(instance.mNumber);
    }

    private void injectRandomFault() {
        Instance instance = mInstances.get(mRandom.nextInt(INSTANCES));
        switch (mRandom.nextInt(220)) {
            case 0 ->
                    instance.mFrozenUntilNanos =
                            mNowNanos + mRandom.nextInt(5_000) * NANOS_PER_MILLI;
            case 1 -> instance.restart();
            case 2 -> toggle(mPartitioned, instance.mNumber);
            case 3 -> mPartitioned.clear();
            case 4 -> toggle(mWithoutStoreAccess, instance.mNumber);
            case 5 -> mWithoutStoreAccess.clear();
            case 6 -> mServers.get(mRandom.nextInt(SERVERS)).mId = "s" + mNextServerNumber++;
            case 7, 8 -> demoteRandomFormerPrimary();
            default -> {
                // Nothing happens in most steps.
            }
        }
    }

    private static void toggle(Set<Integer> set, int number) {
        if (!set.remove(number)) {
            set.add(number);
        }
    }

    /** Lets a former primary learn of its successor. */
    private void demoteRandomFormerPrimary() {
        Server server = mServers.get(mRandom.nextInt(SERVERS));
        if (server.mTerm < newestTerm()) {
            server.mPrimary = false;
        }
    }

    private long newestTerm() {
        return mServers.stream().mapToLong(each -> each.mTerm).max().orElse(0);
    }

    private void runDuePromotions() {
        for (ScheduledPromotion order : List.copyOf(mScheduledPromotions)) {
            if (order.atNanos <= mNowNanos) {
                mScheduledPromotions.remove(order);
                mServers.stream()
                        .filter(server -> server.mId.equals(order.server))
                        .forEach(this::promote);
            }
        }
    }

    private void promote(Server server) {
        // For the present primary an order changes nothing.
        if (!server.mPrimary || server.mTerm < newestTerm()) {
            server.mTerm = newestTerm() + 1;
            server.mPrimary = true;
            mPromotions++;
        }
    }

    /** Plays one run; returns what went wrong, if anything did. */
    Optional<String> run() {
        for (int step = 0; step < STEPS; step++) {
            mNowNanos += STEP_NANOS;
            runDuePromotions();
            injectRandomFault();
            mInstances.forEach(Instance::runStep);
            Optional<String> fault = findUseOfFormerPrimary(step);
            if (fault.isPresent()) {
                return fault;
            }
        }
        return Optional.empty();
    }

    private Optional<String> findUseOfFormerPrimary(int step) {
        for (Instance instance : mInstances) {
            for (Server server : mServers) {
                if (mNowNanos < instance.mFrozenUntilNanos || !instance.mayUseAsPrimary(server)) {
                    continue;
                }
                mPrimaryUses++;
                if (server.mTerm < newestTerm()) {
                    return Optional.of(
                            String.format(
                                    "step %d: i%d uses %s of term %d, newest %d, %s",
                                    step,
                                    instance.mNumber,
                                    server.mId,
                                    server.mTerm,
                                    newestTerm(),
                                    instance.mFence));
                }
            }
        }
        return Optional.empty();
    }

    /** Stops instances for good, until only some are left. */
    void stopInstancesExceptFirst(int instances) {
        for (Instance instance : mInstances.subList(instances, INSTANCES)) {
            instance.mFrozenUntilNanos = Long.MAX_VALUE;
        }
    }

    int promotions() {
        return mPromotions;
    }

    int primaryUses() {
        return mPrimaryUses;
    }
}
