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
        NO_WAIT_FOR_LEASES,
        /** Believes every server that says it leads. */
        BELIEVES_EVERY_SERVER,
        /** Orders any server while an earlier order may still be carried out. */
        FORGETS_PENDING_ORDERS
    }

    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long STEP_NANOS = 50 * MILLI;
    private static final int STEPS = 600;
    private static final int INSTANCES = 5;
    private static final int SERVERS = 3;
    private static final long FOREIGN_NANOS = 2_500 * MILLI;
    private static final long TRUSTED_NANOS = 3_000 * MILLI;
    private static final long LATE_NANOS = 6_000 * MILLI;
    private static final long LONGEST_DELAY_MILLIS = 4_500;

    /** Holds the claim at the store. */
    private record Claim(
            int holder, long token, boolean open, PromotionOrder succession, boolean lateOrders) {}

    private record Order(String server, long atNanos) {}

    private static final class Server {
        private String mId;
        private boolean mLeading;
        private long mTerm;
    }

    private enum Step {
        IDLE,
        BLOCKING,
        ORDERED
    }

    /** Models one instance. */
    private final class Instance {
        private final int mNumber;
        private GroupFence mFence;
        private boolean mKnowsClaims;
        private boolean mClaimed;
        private long mMajorityUntil;
        private long mStoreUntil;
        private String mVerified;
        private long mVerifiedTerm;
        private long mFrozenUntil;
        private long mBlockedSince;
        private Step mStep;
        private FenceRound mRound;
        private PromotionOrder mOrder;
        private long mBlockToken;
        private long mPendingToken;
        private long mPendingSince;
        private boolean mLateOrders;

        Instance(int number) {
            mNumber = number;
            restart();
        }

        private void restart() {
            mFence = GroupFence.NONE;
            mKnowsClaims = false;
            mClaimed = true;
            mMajorityUntil = mNow;
            mStoreUntil = mNow;
            mVerified = "";
            mStep = Step.IDLE;
            mPendingToken = -1;
        }

        private void take(GroupFence news) {
            GroupFence joined = mFence.merge(news);
            if (joined.token() != mFence.token() && joined.blocked()) {
                mBlockedSince = mNow;
            }
            mFence = joined;
        }

        private void readClaim() {
            long sent = mNow;
            mClaimed = mClaim.open;
            take(new GroupFence(0, false, mClaim.succession));
            mKnowsClaims = true;
            mStoreUntil = sent + QuorumLease.LEASE_NANOS;
        }

        private void contact() {
            int heard = 1;
            for (Instance other : mInstances) {
                if (other != this && reaches(this, other)) {
                    heard++;
                    take(other.mFence);
                    other.take(mFence);
                }
            }
            if (heard > INSTANCES / 2) {
                mMajorityUntil = mNow + QuorumLease.LEASE_NANOS;
            }
        }

        private void verify() {
            Server server = mServers.get(mRandom.nextInt(SERVERS));
            if (server.mLeading && mFence.newestOrder().acceptsPrimary(server.mId, server.mTerm)) {
                mVerified = server.mId;
                mVerifiedTerm = server.mTerm;
            }
        }

        private boolean uses(Server server) {
            boolean isHeld = mNow < mMajorityUntil || (mNow < mStoreUntil && !mClaimed);
            if (!mKnowsClaims || !isHeld || !server.mLeading || mFence.blocked()) {
                return false;
            }
            PromotionOrder succession = mFence.newestOrder();
            if (succession.server().isEmpty() || mMutation == Mutation.BELIEVES_EVERY_SERVER) {
                return true;
            }
            boolean isVerified =
                    server.mId.equals(mVerified)
                            && succession.acceptsPrimary(mVerified, mVerifiedTerm);
            boolean isNamed = succession.term() > 0 && server.mId.equals(succession.server());
            return isVerified || isNamed;
        }

        private void begin() {
            boolean isForeign = mClaim.open && mClaim.holder != mNumber;
            if (isForeign && mNow - mClaimWrittenNanos < FOREIGN_NANOS) {
                return;
            }
            mLateOrders = mClaim.lateOrders || mClaim.succession.isPending();
            mClaim = new Claim(mNumber, mClaim.token + 1, true, mClaim.succession, mLateOrders);
            mClaimWrittenNanos = mNow;
            mOrder = mClaim.succession;
            mBlockToken = mClaim.token;
            Set<String> others = new HashSet<>();
            for (int other = 0; other < INSTANCES; other++) {
                others.add("i" + other);
            }
            others.remove("i" + mNumber);
            mRound = new FenceRound(others, mNow);
            take(mFence.withAnnounced(mBlockToken));
            mStep = Step.BLOCKING;
        }

        private void block() {
            int confirmed = 1;
            for (Instance other : mInstances) {
                if (other != this && reaches(this, other)) {
                    other.take(mFence);
                    confirmed++;
                    mRound.onConfirmed("i" + other.mNumber, mNow);
                }
            }
            boolean isHasty = mMutation == Mutation.NO_WAIT_FOR_LEASES && confirmed > INSTANCES / 2;
            Decision decision = isHasty ? Decision.ORDER : mRound.decide(mNow);
            if (decision == Decision.GIVE_UP) {
                end();
            } else if (decision == Decision.ORDER) {
                order();
            }
        }

        private boolean owns() {
            return mClaim.holder == mNumber && mClaim.open && storeReached(this);
        }

        private Optional<Integer> candidate() {
            int chosen = mRandom.nextInt(SERVERS);
            boolean isUncertain = mOrder.isPending() || mLateOrders;
            if (!isUncertain || mMutation == Mutation.FORGETS_PENDING_ORDERS) {
                return Optional.of(chosen).filter(each -> !mServers.get(each).mLeading);
            }
            if (mPendingToken != mOrder.token()) {
                mPendingToken = mOrder.token();
                mPendingSince = mNow;
            }
            boolean isSame = mServers.get(chosen).mId.equals(mOrder.server());
            boolean isOver = mNow - mPendingSince >= LATE_NANOS;
            mLateOrders &= !isOver;
            return Optional.of(chosen)
                    .filter(each -> isSame || isOver)
                    .filter(each -> !mServers.get(each).mLeading);
        }

        private void order() {
            Optional<Integer> candidate = candidate();
            boolean isOld = mNow - mBlockedSince > TRUSTED_NANOS;
            if (candidate.isEmpty() || !owns() || isOld) {
                end();
                return;
            }
            String id = mServers.get(candidate.get()).mId;
            mOrder = new PromotionOrder(mClaim.token + 1, id, 0);
            mClaim = new Claim(mNumber, mClaim.token + 1, true, mOrder, mLateOrders);
            mClaimWrittenNanos = mNow;
            take(mFence.withReleased(mBlockToken, mOrder));
            long delay = 300 + mRandom.nextInt((int) LONGEST_DELAY_MILLIS);
            if (mRandom.nextInt(5) > 0) {
                mOrders.add(new Order(id, mNow + delay * MILLI));
            }
            mStep = Step.ORDERED;
        }

        private void awaitLeading() {
            for (Server server : mServers) {
                if (server.mId.equals(mOrder.server()) && server.mLeading) {
                    mOrder = new PromotionOrder(mOrder.token(), mOrder.server(), server.mTerm);
                    end();
                    return;
                }
            }
            if (mRandom.nextInt(80) == 0) {
                end();
            }
        }

        private void end() {
            take(mFence.withReleased(mBlockToken, mOrder));
            if (owns()) {
                mClaim = new Claim(mNumber, mClaim.token, false, mOrder, mLateOrders);
                mClaimWrittenNanos = mNow;
            }
            mStep = Step.IDLE;
        }

        private void act() {
            if (mNow < mFrozenUntil) {
                return;
            }
            if (storeReached(this) && (!mKnowsClaims || mRandom.nextInt(8) == 0)) {
                readClaim();
            }
            if (mRandom.nextInt(3) == 0) {
                contact();
            }
            if (mRandom.nextInt(3) == 0) {
                verify();
            }
            switch (mStep) {
                case BLOCKING -> block();
                case ORDERED -> awaitLeading();
                default -> {
                    if (storeReached(this) && mRandom.nextInt(120) == 0) {
                        begin();
                    }
                }
            }
        }
    }

    private final Random mRandom;
    private final Mutation mMutation;
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Server> mServers = new ArrayList<>();
    private final List<Order> mOrders = new ArrayList<>();
    private final Set<Integer> mSide = new HashSet<>();
    private final Set<Integer> mWithoutStore = new HashSet<>();
    private Claim mClaim = new Claim(-1, 0, false, PromotionOrder.NONE, false);
    private long mClaimWrittenNanos;
    private long mNow = 10_000 * MILLI;
    private int mBorn;
    private int mPromotions;
    private int mUses;

    ReplacementModel(long seed, Mutation mutation) {
        mRandom = new Random(seed);
        mMutation = mutation;
        for (int number = 0; number < SERVERS; number++) {
            Server server = new Server();
            server.mId = "s" + mBorn++;
            server.mTerm = 1;
            server.mLeading = number == 0;
            mServers.add(server);
        }
        for (int number = 0; number < INSTANCES; number++) {
            mInstances.add(new Instance(number));
        }
    }

    private boolean reaches(Instance one, Instance other) {
        boolean isAwake = mNow >= one.mFrozenUntil && mNow >= other.mFrozenUntil;
        boolean isLost = mRandom.nextInt(12) == 0;
        return isAwake && !isLost && mSide.contains(one.mNumber) == mSide.contains(other.mNumber);
    }

    private boolean storeReached(Instance instance) {
        return !mWithoutStore.contains(instance.mNumber);
    }

    private void disturb() {
        Instance instance = mInstances.get(mRandom.nextInt(INSTANCES));
        switch (mRandom.nextInt(220)) {
            case 0 -> instance.mFrozenUntil = mNow + mRandom.nextInt(5_000) * MILLI;
            case 1 -> instance.restart();
            case 2 -> flip(mSide, instance.mNumber);
            case 3 -> mSide.clear();
            case 4 -> flip(mWithoutStore, instance.mNumber);
            case 5 -> mWithoutStore.clear();
            case 6 -> mServers.get(mRandom.nextInt(SERVERS)).mId = "s" + mBorn++;
            case 7, 8 -> deposeOne();
            default -> {
                // Nothing happens in most steps.
            }
        }
    }

    private static void flip(Set<Integer> set, int number) {
        if (!set.remove(number)) {
            set.add(number);
        }
    }

    /** Lets a former primary learn of its successor. */
    private void deposeOne() {
        Server server = mServers.get(mRandom.nextInt(SERVERS));
        if (server.mTerm < newestTerm()) {
            server.mLeading = false;
        }
    }

    private long newestTerm() {
        return mServers.stream().mapToLong(each -> each.mTerm).max().orElse(0);
    }

    private void carryOutOrders() {
        for (Order order : List.copyOf(mOrders)) {
            if (order.atNanos <= mNow) {
                mOrders.remove(order);
                mServers.stream()
                        .filter(server -> server.mId.equals(order.server))
                        .forEach(this::promote);
            }
        }
    }

    private void promote(Server server) {
        // For the present primary an order changes nothing.
        if (!server.mLeading || server.mTerm < newestTerm()) {
            server.mTerm = newestTerm() + 1;
            server.mLeading = true;
            mPromotions++;
        }
    }

    /** Plays one run; returns what went wrong, if anything did. */
    Optional<String> play() {
        for (int step = 0; step < STEPS; step++) {
            mNow += STEP_NANOS;
            carryOutOrders();
            disturb();
            mInstances.forEach(Instance::act);
            Optional<String> fault = judge(step);
            if (fault.isPresent()) {
                return fault;
            }
        }
        return Optional.empty();
    }

    private Optional<String> judge(int step) {
        for (Instance instance : mInstances) {
            for (Server server : mServers) {
                if (mNow < instance.mFrozenUntil || !instance.uses(server)) {
                    continue;
                }
                mUses++;
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
    void leave(int instances) {
        for (Instance instance : mInstances.subList(instances, INSTANCES)) {
            instance.mFrozenUntil = Long.MAX_VALUE;
        }
    }

    int promotions() {
        return mPromotions;
    }

    int uses() {
        return mUses;
    }
}
