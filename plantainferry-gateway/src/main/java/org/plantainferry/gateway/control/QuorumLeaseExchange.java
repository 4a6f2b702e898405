package org.plantainferry.gateway.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.engine.freshness.AgeCodec;
import org.plantainferry.engine.membership.DomainRepresentatives;
import org.plantainferry.engine.promotion.QuorumLease;
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
 * Keeps this instance from using a primary that another instance replaces.
 *
 * <p>In each failure domain one instance asks those of the other domains, and the others ask that
 * one, so that few messages cross between domains. A question repeats the stamp of the newest
 * answer, which shows the asked instance that the asking one was there after it. Used by the
 * control thread only.
 */
final class QuorumLeaseExchange {
    private static final long CHECK_INTERVAL_MILLIS = 150;
    private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(140);
    // Without a lease callers wait, so that contact is sought more often for a while.
    private static final long FAST_CHECK_INTERVAL_MILLIS = 50;
    private static final long FAST_CHECK_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long EXCLUSION_MILLIS = 600;
    // Each member asks within this time even when one of its datagrams is lost.
    private static final long DOMAIN_CONTACT_MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    // The next check could find the lease lost; a call to the store is dearer than a message.
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

    private record Question(String asked, long sentNanos) {}

    /** Holds what the newest answer of an instance said of its process and time. */
    private record Stamp(long processId, long timeNanos) {}

    QuorumLeaseExchange(
            EventLoop loop,
            GatewaySettings settings,
            PeerChannel peers,
            ClaimStore claims,
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
        mStoreLease = new StoreLease(loop, claims, clock, mFenceRegistry::merge, this::publish);
        // Answers to questions of an earlier process of this instance must not match.
        mLastQuestionNumber = random.nextLong() >>> 1;
        mProcessId = random.nextLong() >>> 1;
    }

    /** Begins to guard primaries; without it {@link PrimaryLeaseGuard} lets everything pass. */
    void start() {
        mStarted = true;
        mLeaseLostSinceNanos = mClock.getAsLong();
        publish();
        check();
    }

    void onOtherInstances(Map<String, InstanceEntry> others) {
        boolean isFirst = mOtherInstances.isEmpty();
        mOtherInstances = others;
        mFenceExchange.onOtherInstances(others);
        Map<String, String> domains = new HashMap<>();
        others.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
        mLease.onInstanceCount(others.size() + 1);
        mDomainContacts.keySet().retainAll(others.keySet());
        mAnswerStamps.keySet().retainAll(others.keySet());
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
        boolean isUrgent =
                !mLeaseHeld
                        && !isHeldByStore
                        && now - mLeaseLostSinceNanos < FAST_CHECK_PERIOD_NANOS;
        mLoop.schedule(
                this::check,
                isUrgent ? FAST_CHECK_INTERVAL_MILLIS : CHECK_INTERVAL_MILLIS,
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

    /** Looks past instances that have left a question without an answer. */
    private void excludeUnresponsive(long nowNanos) {
        List<Question> silent =
                mPendingQuestions.values().stream()
                        .filter(question -> nowNanos - question.sentNanos >= ANSWER_TIMEOUT_NANOS)
                        .toList();
        silent.forEach(question -> mRepresentatives.exclude(question.asked, nowNanos));
        mPendingQuestions.values().removeAll(silent);
    }

    private void ask() {
        long now = mClock.getAsLong();
        Optional<String> own = mRepresentatives.representative(mFailureDomain, now);
        boolean isSpeaker = own.isEmpty() || own.get().equals(mInstance);
        if (isSpeaker) {
            updateOwnDomainContact(now);
        } else {
            ask(own.get(), now);
        }
        if (!isSpeaker && !needsExtraContacts(now)) {
            return;
        }
        for (String domain : mRepresentatives.domains()) {
            if (!domain.equals(mFailureDomain)) {
                mRepresentatives
                        .representative(domain, now)
                        .ifPresent(speaker -> ask(speaker, now));
            }
        }
    }

    /** Returns whether the lease will soon be lost unless there is contact with more instances. */
    private boolean needsExtraContacts(long nowNanos) {
        return mLease.heldUntilNanos(nowNanos) - nowNanos < EXTRA_CONTACT_THRESHOLD_NANOS;
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

    /** Notes with how many instances of the own failure domain there is contact. */
    private void updateOwnDomainContact(long nowNanos) {
        mDomainContacts.values().removeIf(at -> nowNanos - at > DOMAIN_CONTACT_MAX_AGE_NANOS);
        long oldest = nowNanos;
        for (long at : mDomainContacts.values()) {
            oldest = at - oldest < 0 ? at : oldest;
        }
        mLease.onContact(
                mFailureDomain, new QuorumLease.Contact(mDomainContacts.size() + 1, oldest));
    }

    /** Notes a contact with an instance of the own domain that repeats a stamp of this process. */
    private void recordDomainContact(String instance, LeadQuestion question, long nowNanos) {
        InstanceEntry entry = mOtherInstances.get(instance);
        boolean isNeighbour = entry != null && entry.failureDomain().equals(mFailureDomain);
        long age = nowNanos - question.getStamp();
        boolean isRecent = age >= 0 && age < DOMAIN_CONTACT_MAX_AGE_NANOS;
        if (isNeighbour && question.getProcess() == mProcessId && isRecent) {
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
                                contacts.forEach(each -> addContact(answer, domain, each, now)));
        mFenceRegistry
                .fences()
                .forEach(
                        (service, fence) ->
                                answer.addFences(FenceExchange.message(service, fence)));
        mPeers.send(message().setLeadAnswer(answer).build(), sender);
    }

    private static void addContact(
            LeadAnswer.Builder answer, String domain, QuorumLease.Contact contact, long nowNanos) {
        long age = nowNanos - contact.atNanos();
        if (age >= QuorumLease.LEASE_NANOS) {
            return;
        }
        answer.addContacts(
                DomainContact.newBuilder()
                        .setFailureDomain(domain)
                        .setInstances(contact.instances())
                        .setAgeMillis(AgeCodec.encodeMillis(age)));
    }

    void onAnswer(LeadAnswer answer) {
        Question question = mPendingQuestions.remove(answer.getNumber());
        if (question == null) {
            return;
        }
        answer.getFencesList().forEach(mFenceExchange::merge);
        mRepresentatives.onContact(question.asked);
        mAnswerStamps.put(question.asked, new Stamp(answer.getProcess(), answer.getStamp()));
        for (DomainContact contact : answer.getContactsList()) {
            long age = AgeCodec.decodeNanos(contact.getAgeMillis());
            mLease.onContact(
                    contact.getFailureDomain(),
                    new QuorumLease.Contact(contact.getInstances(), question.sentNanos - age));
        }
        publish();
    }

    /** Returns what this instance knows of replacements. */
    FenceExchange fenceExchange() {
        return mFenceExchange;
    }

    FenceRegistry fenceRegistry() {
        return mFenceRegistry;
    }

    /** Takes over an announcement of another instance. */
    void onFenceAnnouncement(LeadFence notice, InetSocketAddress sender) {
        if (mStarted) {
            mFenceExchange.onAnnouncement(notice, sender);
        }
    }

    /** Tells traffic which primaries may be used. */
    void publish() {
        if (!mStarted) {
            return;
        }
        long now = mClock.getAsLong();
        // Orders of earlier days are known from the store only.
        long until = mStoreLease.hasReadClaims() ? mLease.heldUntilNanos(now) : now;
        mGuard.publish(
                until,
                mStoreLease.heldUntilNanos(),
                mStoreLease.claimedServices(),
                mFenceRegistry.allowedPrimaries());
        boolean isHeld = until - now > 0;
        if (isHeld != mLeaseHeld) {
            mLeaseHeld = isHeld;
            mLeaseLostSinceNanos = now;
            GatewayEvent.LEAD_LEASE.log(isHeld ? "held" : "lost", mLease.contacts().keySet());
        }
    }
}
