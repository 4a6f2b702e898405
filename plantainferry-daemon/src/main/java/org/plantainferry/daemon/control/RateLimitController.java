package org.plantainferry.daemon.control;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.daemon.log.LogEvent;
import org.plantainferry.daemon.traffic.TokenBucketProvider;
import org.plantainferry.engine.limit.AllocatorReply;
import org.plantainferry.engine.limit.DomainView;
import org.plantainferry.engine.limit.SendShareRequest;
import org.plantainferry.engine.limit.ShareAllocator;
import org.plantainferry.engine.limit.ShareAnswer;
import org.plantainferry.engine.limit.ShareHolder;
import org.plantainferry.engine.limit.ShareRequest;
import org.plantainferry.engine.limit.ShareTerms;
import org.plantainferry.engine.limit.SlotAction;
import org.plantainferry.engine.limit.SlotClaims;
import org.plantainferry.engine.limit.SlotHolderGuard;
import org.plantainferry.engine.limit.SlotTable;
import org.plantainferry.engine.limit.WorkspaceBucket;
import org.plantainferry.engine.membership.Member;
import org.plantainferry.network.peer.PeerTransport;
import org.plantainferry.network.peer.generated.PeerMessage;
import org.plantainferry.network.peer.generated.ShareRecall;
import org.plantainferry.network.store.StoreObject;
import org.plantainferry.network.store.WriteCondition;

/** Holds share slots, deposits them and lends those of others. */
final class RateLimitController implements TokenBucketProvider {
    /** A caller that waits for a grant runs a tick at once, so idle ticks may be rare. */
    private static final long TICK_MILLIS = 40;

    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;
    private static final long LIST_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int CANDIDATES = 2;

    /** Slots change with the membership, so the view may be older than a tick. */
    private static final long VIEW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final String SLOTS = "slots/";

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final PeerTransport mPeers;
    private final ShareTerms mTerms;
    private final ShareHolder mHolder;
    private final ShareAllocator mAllocator;
    private final SlotClaims mClaims;
    private final SlotHolderGuard mGuard;
    private final String mSlotPath;
    private final long mStartedNanos;
    private final AtomicBoolean mTickRequested = new AtomicBoolean();
    private DomainView mView;
    private long mViewNanos;
    private int mUsableSlots;

    RateLimitController(ControlContext context, FleetState fleet, PeerTransport peers) {
        mContext = context;
        mFleet = fleet;
        mPeers = peers;
        mStartedNanos = context.now();
        mTerms = new ShareTerms(fleet.configuration());
        InstanceId self = fleet.self().id();
        mHolder = new ShareHolder(mStartedNanos, self, mTerms);
        mAllocator = new ShareAllocator(mStartedNanos, mTerms, context.random().nextLong());
        mClaims = new SlotClaims(mStartedNanos, self, fleet.self().failureDomain(), mTerms);
        mGuard = new SlotHolderGuard(mStartedNanos);
        mSlotPath = SLOTS + fleet.self().failureDomain();
    }

    void start() {
        mContext.loop().runEvery("limits", TICK_MILLIS, this::tick);
    }

    void onConfiguration() {
        mTerms.install(mContext.now(), mFleet.configuration());
    }

    @Override
    public Optional<WorkspaceBucket> bucket(WorkspaceName workspace) {
        return mHolder.bucket(workspace);
    }

    @Override
    public void requestGrant() {
        if (mTickRequested.compareAndSet(false, true)) {
            mContext.loop().run("grant", this::tick);
        }
    }

    private void tick() {
        mTickRequested.set(false);
        long now = mContext.now();
        if (mViewNanos == 0 || now - mViewNanos >= VIEW_NANOS) {
            mViewNanos = now;
            mView = domainView(now);
        }
        boolean wasBlocked = !mGuard.maySpend();
        mGuard.tick(now, mView.listed().size() > 1 || mView.live().size() > 1);
        if (!mGuard.maySpend() && !wasBlocked) {
            mClaims.requestRead();
        }
        mClaims.decide(now, mView, mHolder.runningDeposits(now)).ifPresent(this::carryOut);
        int usable = mGuard.maySpend() ? mClaims.usableSlots(now) : 0;
        if (usable != mUsableSlots) {
            LogEvent.SLOTS_CHANGED.log(usable);
            mUsableSlots = usable;
        }
        mHolder.tick(now, usable, this::rank).forEach(this::send);
    }

    private List<InstanceId> rank(WorkspaceName workspace) {
        return mFleet.hash().rank(workspace.value(), CANDIDATES);
    }

    private DomainView domainView(long now) {
        TreeSet<InstanceId> live = new TreeSet<>();
        for (Member member : mFleet.membership().snapshot().staying()) {
            if (member.failureDomain().equals(mFleet.self().failureDomain())) {
                live.add(member.id());
            }
        }
        Set<InstanceId> listed = new HashSet<>();
        for (Member member : mFleet.listed()) {
            if (member.failureDomain().equals(mFleet.self().failureDomain())) {
                listed.add(member.id());
            }
        }
        return new DomainView(
                live,
                mFleet.isListKnown(now, LIST_AGE_NANOS),
                listed,
                instance ->
                        mFleet.membership()
                                .silenceNanos(instance, now)
                                .orElse(now - mStartedNanos));
    }

    private void carryOut(SlotAction action) {
        long sent = mContext.now();
        if (action instanceof SlotAction.Write write) {
            WriteCondition condition =
                    write.expectedVersion() == 0
                            ? WriteCondition.ABSENT
                            : WriteCondition.atVersion(write.expectedVersion());
            mContext.store()
                    .put(mSlotPath, write.table().toJson(), condition)
                    .whenComplete(
                            (version, failure) ->
                                    mContext.loop()
                                            .run("slots", () -> onWritten(version, failure)));
            return;
        }
        mContext.store()
                .get(mSlotPath)
                .whenComplete(
                        (object, failure) ->
                                mContext.loop().run("slots", () -> onRead(object, failure, sent)));
    }

    private void onWritten(Optional<Long> version, Throwable failure) {
        if (failure != null || version.isEmpty()) {
            mClaims.writeFailed(mContext.now());
            return;
        }
        mClaims.written(mContext.now(), version.get());
    }

    private void onRead(Optional<StoreObject> object, Throwable failure, long sentNanos) {
        long now = mContext.now();
        if (failure != null) {
            mClaims.readFailed(now);
            return;
        }
        try {
            Optional<SlotTable> table = object.flatMap(StoreObject::value).map(SlotTable::fromJson);
            mClaims.read(now, table, object.map(StoreObject::version).orElse(0L));
            mGuard.slotsRead(now, sentNanos);
        } catch (PlantainferryException e) {
            LogEvent.SLOTS_REJECTED.log(mFleet.self().failureDomain(), e.getMessage());
            mClaims.readFailed(now);
        }
    }

    /** Takes in that the store answered, or that a peer of the own failure domain was heard. */
    void onContact() {
        mGuard.reached(mContext.now());
    }

    /** Takes in that the slot object of the own failure domain changed. */
    void onSlotsChanged() {
        mClaims.requestRead();
    }

    private void send(SendShareRequest send) {
        if (send.allocator().equals(mFleet.self().id())) {
            reply(send.request()).ifPresent(answer -> onAnswer(send.allocator(), answer));
            return;
        }
        Optional<String> address = mFleet.membership().peerAddress(send.allocator());
        if (address.isEmpty()) {
            return;
        }
        PeerMessage message =
                PeerMessage.newBuilder()
                        .setShareRequest(PeerMessageCodec.encode(send.request()))
                        .build();
        mPeers.call(address.get(), message, ANSWER_TIMEOUT_MILLIS)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure == null && answer.hasShareAnswer()) {
                                ShareAnswer read = PeerMessageCodec.decode(answer.getShareAnswer());
                                mContext.loop()
                                        .run("shares", () -> onAnswer(send.allocator(), read));
                            }
                        });
    }

    private void onAnswer(InstanceId allocator, ShareAnswer answer) {
        mHolder.answered(mContext.now(), allocator, answer);
    }

    /** Answers a share request as the allocator, and recalls shares that it needs back. */
    Optional<ShareAnswer> reply(ShareRequest request) {
        AllocatorReply reply = mAllocator.request(mContext.now(), request);
        for (InstanceId borrower : reply.recalled()) {
            recall(borrower);
        }
        return reply.answer();
    }

    private void recall(InstanceId borrower) {
        InstanceId self = mFleet.self().id();
        if (borrower.equals(self)) {
            onRecall(self);
            return;
        }
        PeerMessage message =
                PeerMessage.newBuilder()
                        .setShareRecall(ShareRecall.newBuilder().setInstance(self.value()))
                        .build();
        mFleet.membership()
                .peerAddress(borrower)
                .ifPresent(address -> mPeers.send(address, message));
    }

    /** Takes in that an allocator wants the next request soon. */
    void onRecall(InstanceId allocator) {
        mHolder.recalled(mContext.now(), allocator);
    }
}
