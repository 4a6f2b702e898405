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
import org.plantainferry.engine.limit.SlotAction;
import org.plantainferry.engine.limit.SlotClaims;
import org.plantainferry.engine.limit.SlotConfiguration;
import org.plantainferry.engine.limit.SlotHolderGuard;
import org.plantainferry.engine.limit.SlotTable;
import org.plantainferry.engine.limit.WorkspaceTokenBucket;
import org.plantainferry.engine.membership.Member;
import org.plantainferry.network.peer.PeerTransport;
import org.plantainferry.network.peer.generated.PeerMessage;
import org.plantainferry.network.peer.generated.ShareRecall;
import org.plantainferry.network.store.StoreObject;
import org.plantainferry.network.store.WriteCondition;

/** Holds share slots, deposits them and lends those of others. */
final class RateLimitController implements TokenBucketProvider {
    /** A caller that waits for a grant runs a tick at once, so idle ticks may be rare. */
    private static final long TICK_INTERVAL_MILLIS = 40;

    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;
    private static final long MAX_INSTANCE_LIST_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int ALLOCATOR_CANDIDATES = 2;

    /** Slots change with the membership, so the view may be older than a tick. */
    private static final long DOMAIN_VIEW_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final String SLOTS_PREFIX = "slots/";

    private final ControlContext mContext;
    private final FleetState mFleet;
    private final PeerTransport mPeers;
    private final SlotConfiguration mSlotConfiguration;
    private final ShareHolder mShareHolder;
    private final ShareAllocator mShareAllocator;
    private final SlotClaims mSlotClaims;
    private final SlotHolderGuard mSlotHolderGuard;
    private final String mSlotPath;
    private final long mStartedNanos;
    private final AtomicBoolean mTickRequested = new AtomicBoolean();
    private DomainView mDomainView;
    private long mDomainViewNanos;
    private int mUsableSlots;

    RateLimitController(ControlContext context, FleetState fleet, PeerTransport peers) {
        mContext = context;
        mFleet = fleet;
        mPeers = peers;
        mStartedNanos = context.now();
        mSlotConfiguration = new SlotConfiguration(fleet.configuration());
        InstanceId self = fleet.self().id();
        mShareHolder = new ShareHolder(mStartedNanos, self, mSlotConfiguration);
        mShareAllocator =
                new ShareAllocator(mStartedNanos, mSlotConfiguration, context.random().nextLong());
        mSlotClaims =
                new SlotClaims(
                        mStartedNanos, self, fleet.self().failureDomain(), mSlotConfiguration);
        mSlotHolderGuard = new SlotHolderGuard(mStartedNanos);
        mSlotPath = SLOTS_PREFIX + fleet.self().failureDomain();
    }

    void start() {
        mContext.loop().runEvery("limits", TICK_INTERVAL_MILLIS, this::tick);
    }

    void onConfiguration() {
        mSlotConfiguration.install(mContext.now(), mFleet.configuration());
    }

    @Override
    public Optional<WorkspaceTokenBucket> bucket(WorkspaceName workspace) {
        return mShareHolder.bucket(workspace);
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
        if (mDomainViewNanos == 0 || now - mDomainViewNanos >= DOMAIN_VIEW_INTERVAL_NANOS) {
            mDomainViewNanos = now;
            mDomainView = domainView(now);
        }
        boolean wasBlocked = !mSlotHolderGuard.maySpend();
        mSlotHolderGuard.tick(
                now, mDomainView.listed().size() > 1 || mDomainView.live().size() > 1);
        if (!mSlotHolderGuard.maySpend() && !wasBlocked) {
            mSlotClaims.requestRead();
        }
        mSlotClaims
                .nextAction(now, mDomainView, mShareHolder.runningDeposits(now))
                .ifPresent(this::execute);
        int usable = mSlotHolderGuard.maySpend() ? mSlotClaims.usableSlots(now) : 0;
        if (usable != mUsableSlots) {
            LogEvent.SLOTS_CHANGED.log(usable);
            mUsableSlots = usable;
        }
        mShareHolder.tick(now, usable, this::rankAllocators).forEach(this::sendShareRequest);
    }

    private List<InstanceId> rankAllocators(WorkspaceName workspace) {
        return mFleet.rendezvousHash().rank(workspace.value(), ALLOCATOR_CANDIDATES);
    }

    private DomainView domainView(long now) {
        TreeSet<InstanceId> live = new TreeSet<>();
        for (Member member : mFleet.membership().snapshot().nonLeavingMembers()) {
            if (member.failureDomain().equals(mFleet.self().failureDomain())) {
                live.add(member.id());
            }
        }
        Set<InstanceId> listed = new HashSet<>();
        for (Member member : mFleet.listedMembers()) {
            if (member.failureDomain().equals(mFleet.self().failureDomain())) {
                listed.add(member.id());
            }
        }
        return new DomainView(
                live,
                mFleet.hasRecentInstanceList(now, MAX_INSTANCE_LIST_AGE_NANOS),
                listed,
                instance ->
                        mFleet.membership()
                                .silenceNanos(instance, now)
                                .orElse(now - mStartedNanos));
    }

    private void execute(SlotAction action) {
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
                                            .run("slots", () -> onSlotsWritten(version, failure)));
            return;
        }
        mContext.store()
                .get(mSlotPath)
                .whenComplete(
                        (object, failure) ->
                                mContext.loop()
                                        .run("slots", () -> onSlotsRead(object, failure, sent)));
    }

    private void onSlotsWritten(Optional<Long> version, Throwable failure) {
        if (failure != null || version.isEmpty()) {
            mSlotClaims.writeFailed(mContext.now());
            return;
        }
        mSlotClaims.writeSucceeded(mContext.now(), version.get());
    }

    private void onSlotsRead(Optional<StoreObject> object, Throwable failure, long sentNanos) {
        long now = mContext.now();
        if (failure != null) {
            mSlotClaims.readFailed(now);
            return;
        }
        try {
            Optional<SlotTable> table = object.flatMap(StoreObject::value).map(SlotTable::fromJson);
            mSlotClaims.readSucceeded(now, table, object.map(StoreObject::version).orElse(0L));
            mSlotHolderGuard.recordSlotRead(now, sentNanos);
        } catch (PlantainferryException e) {
            LogEvent.SLOTS_REJECTED.log(mFleet.self().failureDomain(), e.getMessage());
            mSlotClaims.readFailed(now);
        }
    }

    /** Takes in that the store answered, or that a peer of the own failure domain was heard. */
    void onContact() {
        mSlotHolderGuard.recordContact(mContext.now());
    }

    /** Takes in that the slot object of the own failure domain changed. */
    void onSlotsChanged() {
        mSlotClaims.requestRead();
    }

    private void sendShareRequest(SendShareRequest send) {
        if (send.allocator().equals(mFleet.self().id())) {
            answerShareRequest(send.request())
                    .ifPresent(answer -> onShareAnswer(send.allocator(), answer));
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
                                        .run("shares", () -> onShareAnswer(send.allocator(), read));
                            }
                        });
    }

    private void onShareAnswer(InstanceId allocator, ShareAnswer answer) {
        mShareHolder.applyAnswer(mContext.now(), allocator, answer);
    }

    /** Answers a share request as the allocator, and recalls shares that it needs back. */
    Optional<ShareAnswer> answerShareRequest(ShareRequest request) {
        AllocatorReply reply = mShareAllocator.handleRequest(mContext.now(), request);
        for (InstanceId borrower : reply.recalled()) {
            sendRecall(borrower);
        }
        return reply.answer();
    }

    private void sendRecall(InstanceId borrower) {
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
        mShareHolder.handleRecall(mContext.now(), allocator);
    }
}
