package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.AgeCodec;
import org.plantainferry.engine.membership.DomainRepresentatives;
import org.plantainferry.engine.promotion.QuorumLease;
import org.plantainferry.engine.retry.AdaptiveTimeout;
import org.plantainferry.gateway.feed.StoreEpochTracker;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.PeerChannel;
import org.plantainferry.gateway.peer.generated.DomainContact;
import org.plantainferry.gateway.peer.generated.InstanceMessage;
import org.plantainferry.gateway.peer.generated.LeadAnswer;
import org.plantainferry.gateway.peer.generated.LeadFence;
import org.plantainferry.gateway.peer.generated.LeadQuestion;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.spi.ClaimStore;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.plantainferry.gateway.traffic.PrimaryLeaseGuard;

/**
 * Prevents this instance from using a primary that another instance is replacing.
 *
 * <p>One representative of each failure domain asks the representatives of the other domains, and
 * the other instances of a domain ask their own representative, so that few messages cross domain
 * boundaries. A question repeats the stamp of the newest answer, which proves to the asked instance
 * that the asking one was alive after that answer. Used by the control thread only.
 */
final class QuorumLeaseExchange {
    private static final long CHECK_INTERVAL_MILLIS = 150;
    private static final long MIN_ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(140);
    // Leaves the remainder of the lease for the answer of another instance.
    private static final long MAX_ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    // Callers wait while no lease is held, so contact is attempted more often for some time, unless
    // answers take long: more questions would only make them take longer.
    private static final long FAST_CHECK_INTERVAL_MILLIS = 50;
    private static final long FAST_CHECK_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long EXCLUSION_MILLIS = 600;
    // Each instance of the domain asks within this time even if one of its datagrams is lost.
    private static final long DOMAIN_CONTACT_MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    // The lease could expire before the next check. The claims are read only below this remaining
    // time, because a call to the store costs more than a message.
    private static final long STORE_READ_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long EXTRA_CONTACT_THRESHOLD_NANOS = QuorumLease.LEASE_NANOS / 2;

    private final EventLoop mLoop;
    private final String mInstance;
    private final String mFailureDomain;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private final PrimaryLeaseGuard mGuard;
    private final QuorumLease mLease;
    private final DomainRepresentatives mRepresentatives =
            new DomainRepresentatives("lead", EXCLUSION_MILLIS);
    private final AdaptiveTimeout mAnswerTimeout =
            new AdaptiveTimeout(MIN_ANSWER_TIMEOUT_NANOS, MAX_ANSWER_TIMEOUT_NANOS);
    private final Map<Long, Question> mPendingQuestions = new HashMap<>();
    private final FenceRegistry mFenceRegistry;
    private final FenceExchange mFenceExchange;
    private final StoreLease mStoreLease;
    private final Map<String, Long> mDomainContacts = new HashMap<>();
    private final Map<String, Stamp> mAnswerStamps = new HashMap<>();
    private final long mProcessId;
    private Map<String, InstanceEntry> mOtherInstances = Map.of();
    private long mLastQuestionNumber;
    private boolean mStarted;
    private boolean mLeaseHeld;
    private long mLeaseLostSinceNanos;

    /** Represents a question that was not answered yet. */
    private static final class Question {
        private final String mAsked;
        private final long mSentNanos;
        private boolean mExcluded;

        Question(String asked, long sentNanos) {
            mAsked = asked;
            mSentNanos = sentNanos;
        }
    }

    /** Represents the process and the time given in the newest answer of an instance. */
    private record Stamp(long processId, long timeNanos) {}

    QuorumLeaseExchange(
            EventLoop loop,
            GatewaySettings settings,
            PeerChannel peers,
            ClaimStore claims,
            StoreEpochTracker epochs,
            BooleanSupplier settled,
            LongSupplier clock,
            PrimaryLeaseGuard guard,
            Random random) {
        mLoop = loop;
        mInstance = settings.instance();
        mFailureDomain = settings.failureDomain();
        mPeers = peers;
        mClock = clock;
        mGuard = guard;
        mLease = new QuorumLease(mFailureDomain);
        mFenceRegistry = new FenceRegistry(clock);
        mFenceRegistry.addChangeListener(this::publish);
        mFenceExchange = new FenceExchange(loop, mInstance, peers, clock, mFenceRegistry);
        mStoreLease =
                new StoreLease(
                        loop, claims, epochs, settled, clock, mFenceRegistry::merge, this::publish);
        // Answers to questions of an earlier process of this instance must not match.
        mLastQuestionNumber = random.nextLong() >>> 1;
        mProcessId = random.nextLong() >>> 1;
    }

    /** Starts to guard primaries; until then, {@link PrimaryLeaseGuard} permits all of them. */
    void start() {
        mStarted = true;
        mLeaseLostSinceNanos = mClock.getAsLong();
        publish();
        check();
    }

    void onOtherInstances(Map<String, InstanceEntry> otherInstances) {
        boolean isFirst = mOtherInstances.isEmpty();
        mOtherInstances = otherInstances;
        mFenceExchange.onOtherInstances(otherInstances);
        Map<String, String> domains = new HashMap<>();
        otherInstances.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
        mLease.onInstanceCount(otherInstances.size() + 1);
        mDomainContacts.keySet().retainAll(otherInstances.keySet());
        mAnswerStamps.keySet().retainAll(otherInstances.keySet());
        domains.put(mInstance, mFailureDomain);
        mRepresentatives.onInstances(domains);
        if (mStarted && isFirst) {
            mStoreLease.onRegistered();
            ask();
        }
    }

    private void check() {
        long now = mClock.getAsLong();
        boolean isHeldByStore = mStoreLease.heldUntilNanos() - now > 0;
        boolean isFastCheck =
                !mLeaseHeld
                        && !isHeldByStore
                        && now - mLeaseLostSinceNanos < FAST_CHECK_PERIOD_NANOS
                        && !mAnswerTimeout.isExtended();
        mLoop.schedule(
                this::check,
                isFastCheck ? FAST_CHECK_INTERVAL_MILLIS : CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        excludeUnresponsive(now);
        mFenceRegistry.expire();
        ask();
        boolean isAtRisk = mLease.heldUntilNanos(now) - now < STORE_READ_THRESHOLD_NANOS;
        if (!mStoreLease.hasReadClaims() || isAtRisk) {
            mStoreLease.read();
        }
        publish();
    }

    /** Excludes instances that did not answer a question in time. */
    private void excludeUnresponsive(long nowNanos) {
        long timeoutNanos = mAnswerTimeout.timeoutNanos();
        for (Question question : mPendingQuestions.values()) {
            if (!question.mExcluded && nowNanos - question.mSentNanos >= timeoutNanos) {
                question.mExcluded = true;
                mRepresentatives.exclude(question.mAsked, nowNanos);
            }
        }
        // An answer counts from its question, so a late one is of use as long as the lease.
        mPendingQuestions
                .values()
                .removeIf(question -> nowNanos - question.mSentNanos >= QuorumLease.LEASE_NANOS);
    }

    private void ask() {
        long now = mClock.getAsLong();
        Optional<String> ownRepresentative = mRepresentatives.representative(mFailureDomain, now);
        boolean isRepresentative =
                ownRepresentative.isEmpty() || ownRepresentative.get().equals(mInstance);
        if (isRepresentative) {
            updateOwnDomainContact(now);
        } else {
            ask(ownRepresentative.get(), now);
        }
        if (!isRepresentative && !needsExtraContacts(now)) {
            return;
        }
        for (String domain : mRepresentatives.domains()) {
            if (!domain.equals(mFailureDomain)) {
                mRepresentatives.representative(domain, now).ifPresent(asked -> ask(asked, now));
            }
        }
    }

    /** Returns whether the lease will soon expire unless there is contact with more instances. */
    private boolean needsExtraContacts(long nowNanos) {
        return !mAnswerTimeout.isExtended()
                && mLease.heldUntilNanos(nowNanos) - nowNanos < EXTRA_CONTACT_THRESHOLD_NANOS;
    }

    private void ask(String asked, long nowNanos) {
        InstanceEntry entry = mOtherInstances.get(asked);
        if (entry == null) {
            return;
        }
        mLastQuestionNumber++;
        mPendingQuestions.put(mLastQuestionNumber, new Question(asked, nowNanos));
        LeadQuestion.Builder question = LeadQuestion.newBuilder().setNumber(mLastQuestionNumber);
        Stamp stamp = mAnswerStamps.get(asked);
        if (stamp != null) {
            question.setProcess(stamp.processId).setStamp(stamp.timeNanos);
        }
        mFenceRegistry
                .fences()
                .forEach(
                        (service, fence) ->
                                question.addFences(FenceExchange.message(service, fence)));
        send(message().setLeadQuestion(question), entry);
    }

    /** Updates the lease with the number of recently heard instances of the own failure domain. */
    private void updateOwnDomainContact(long nowNanos) {
        mDomainContacts
                .values()
                .removeIf(contactNanos -> nowNanos - contactNanos > DOMAIN_CONTACT_MAX_AGE_NANOS);
        long oldestNanos = nowNanos;
        for (long contactNanos : mDomainContacts.values()) {
            oldestNanos = contactNanos - oldestNanos < 0 ? contactNanos : oldestNanos;
        }
        mLease.onContact(
                mFailureDomain, new QuorumLease.Contact(mDomainContacts.size() + 1, oldestNanos));
    }

    /** Records a contact with an instance of the own domain that repeats a recent stamp. */
    private void recordDomainContact(String instance, LeadQuestion question, long nowNanos) {
        InstanceEntry entry = mOtherInstances.get(instance);
        boolean isInOwnDomain = entry != null && entry.failureDomain().equals(mFailureDomain);
        long ageNanos = nowNanos - question.getStamp();
        boolean isRecent = ageNanos >= 0 && ageNanos < DOMAIN_CONTACT_MAX_AGE_NANOS;
        if (isInOwnDomain && question.getProcess() == mProcessId && isRecent) {
            mDomainContacts.put(instance, question.getStamp());
            updateOwnDomainContact(nowNanos);
        }
    }

    private InstanceMessage.Builder message() {
        return InstanceMessage.newBuilder().setInstance(mInstance);
    }

    private void send(InstanceMessage.Builder message, InstanceEntry receiver) {
        mPeers.send(message.build(), receiver.peerAddress());
    }

    void onQuestion(String instance, LeadQuestion question, InetSocketAddress sender) {
        if (!mStarted) {
            return;
        }
        long now = mClock.getAsLong();
        mRepresentatives.onContact(instance);
        question.getFencesList().forEach(mFenceExchange::merge);
        recordDomainContact(instance, question, now);
        LeadAnswer.Builder answer =
                LeadAnswer.newBuilder()
                        .setNumber(question.getNumber())
                        .setProcess(mProcessId)
                        .setStamp(now);
        mLease.contacts()
                .forEach(
                        (domain, contacts) ->
                                contacts.forEach(
                                        contact -> addContact(answer, domain, contact, now)));
        mFenceRegistry
                .fences()
                .forEach(
                        (service, fence) ->
                                answer.addFences(FenceExchange.message(service, fence)));
        mPeers.send(message().setLeadAnswer(answer).build(), sender);
    }

    private static void addContact(
            LeadAnswer.Builder answer, String domain, QuorumLease.Contact contact, long nowNanos) {
        long ageNanos = nowNanos - contact.atNanos();
        if (ageNanos >= QuorumLease.LEASE_NANOS) {
            return;
        }
        answer.addContacts(
                DomainContact.newBuilder()
                        .setFailureDomain(domain)
                        .setInstances(contact.instances())
                        .setAgeMillis(AgeCodec.encodeMillis(ageNanos)));
    }

    void onAnswer(LeadAnswer answer) {
        Question question = mPendingQuestions.remove(answer.getNumber());
        if (question == null) {
            return;
        }
        answer.getFencesList().forEach(mFenceExchange::merge);
        mAnswerTimeout.onAnswer(mClock.getAsLong() - question.mSentNanos);
        mRepresentatives.onContact(question.mAsked);
        mAnswerStamps.put(question.mAsked, new Stamp(answer.getProcess(), answer.getStamp()));
        for (DomainContact contact : answer.getContactsList()) {
            long ageNanos = AgeCodec.decodeNanos(contact.getAgeMillis());
            mLease.onContact(
                    contact.getFailureDomain(),
                    new QuorumLease.Contact(
                            contact.getInstances(), question.mSentNanos - ageNanos));
        }
        publish();
    }

    /** Returns the exchange of announcements of replacements. */
    FenceExchange fenceExchange() {
        return mFenceExchange;
    }

    FenceRegistry fenceRegistry() {
        return mFenceRegistry;
    }

    /** Applies and confirms the announcement of a replacement by another instance. */
    void onFenceAnnouncement(LeadFence announcement, InetSocketAddress sender) {
        if (mStarted) {
            mFenceExchange.onAnnouncement(announcement, sender);
        }
    }

    /** Publishes to traffic which primaries may be used. */
    void publish() {
        if (!mStarted) {
            return;
        }
        long now = mClock.getAsLong();
        // Orders from before the start of this process are known from the store only.
        long untilNanos = mStoreLease.hasReadClaims() ? mLease.heldUntilNanos(now) : now;
        mGuard.publish(
                untilNanos,
                mStoreLease.heldUntilNanos(),
                mStoreLease.claimedServices(),
                mFenceRegistry.allowedPrimaries());
        boolean isHeld = untilNanos - now > 0;
        if (isHeld != mLeaseHeld) {
            mLeaseHeld = isHeld;
            mLeaseLostSinceNanos = now;
            GatewayEvent.LEAD_LEASE.log(isHeld ? "held" : "lost", mLease.contacts().keySet());
        }
    }
}
