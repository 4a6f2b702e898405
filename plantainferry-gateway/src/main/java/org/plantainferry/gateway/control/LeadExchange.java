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
import org.plantainferry.engine.freshness.PeerAge;
import org.plantainferry.engine.membership.DomainSpeakers;
import org.plantainferry.engine.promotion.LeadLease;
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
final class LeadExchange {
    private static final long CHECK_MILLIS = 150;
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(140);
    // Without a lease callers wait, so that contact is sought more often for a while.
    private static final long URGENT_CHECK_MILLIS = 50;
    private static final long URGENT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long PASSED_OVER_MILLIS = 600;
    // Each member asks within this time even when one of its datagrams is lost.
    private static final long MEMBER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    // The next check could find the lease lost; a call to the store is dearer than a message.
    private static final long AT_RISK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long WORRIED_NANOS = LeadLease.LEASE_NANOS / 2;

    private final EventLoop mLoop;
    private final String mInstance;
    private final String mFailureDomain;
    private final PeerChannel mPeers;
    private final LongSupplier mClock;
    private final PrimaryLeaseGuard mGuard;
    private final LeadLease mLease;
    private final DomainSpeakers mSpeakers = new DomainSpeakers("lead", PASSED_OVER_MILLIS);
    private final Map<Long, Question> mQuestions = new HashMap<>();
    private final FenceBoard mBoard;
    private final FenceExchange mFences;
    private final ClaimWatch mClaims;
    private final Map<String, Long> mMembers = new HashMap<>();
    private final Map<String, Stamp> mStamps = new HashMap<>();
    private final long mProcess;
    private Map<String, InstanceEntry> mOthers = Map.of();
    private long mNumber;
    private boolean mStarted;
    private boolean mHeld;
    private long mNotHeldSinceNanos;

    private record Question(String asked, long sentNanos) {}

    /** Holds what the newest answer of an instance said of its process and time. */
    private record Stamp(long process, long time) {}

    LeadExchange(
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
        mLease = new LeadLease(mFailureDomain);
        mBoard = new FenceBoard(clock);
        mBoard.onChange(this::publish);
        mFences = new FenceExchange(loop, mInstance, peers, clock, mBoard);
        mClaims = new ClaimWatch(loop, claims, clock, mBoard::take, this::publish);
        // Answers to questions of an earlier process of this instance must not match.
        mNumber = random.nextLong() >>> 1;
        mProcess = random.nextLong() >>> 1;
    }

    /** Begins to guard primaries; without it {@link PrimaryLeaseGuard} lets everything pass. */
    void start() {
        mStarted = true;
        mNotHeldSinceNanos = mClock.getAsLong();
        publish();
        check();
    }

    void onOthers(Map<String, InstanceEntry> others) {
        boolean isFirst = mOthers.isEmpty();
        mOthers = others;
        mFences.onOthers(others);
        Map<String, String> domains = new HashMap<>();
        others.forEach((name, entry) -> domains.put(name, entry.failureDomain()));
        mLease.onInstances(others.size() + 1);
        mMembers.keySet().retainAll(others.keySet());
        mStamps.keySet().retainAll(others.keySet());
        domains.put(mInstance, mFailureDomain);
        mSpeakers.onInstances(domains);
        if (mStarted && isFirst) {
            mClaims.onRegistered();
            ask();
        }
    }

    private void check() {
        long now = mClock.getAsLong();
        boolean isHeldByStore = mClaims.heldUntilNanos() - now > 0;
        boolean isUrgent = !mHeld && !isHeldByStore && now - mNotHeldSinceNanos < URGENT_NANOS;
        mLoop.schedule(
                this::check, isUrgent ? URGENT_CHECK_MILLIS : CHECK_MILLIS, TimeUnit.MILLISECONDS);
        passOverSilent(now);
        mBoard.expire();
        ask();
        boolean isAtRisk = mLease.heldUntilNanos(now) - now < AT_RISK_NANOS;
        if (!mClaims.isKnown() || isAtRisk) {
            mClaims.read();
        }
        publish();
    }

    /** Looks past instances that have left a question without an answer. */
    private void passOverSilent(long nowNanos) {
        List<Question> silent =
                mQuestions.values().stream()
                        .filter(question -> nowNanos - question.sentNanos >= ANSWER_NANOS)
                        .toList();
        silent.forEach(question -> mSpeakers.passOver(question.asked, nowNanos));
        mQuestions.values().removeAll(silent);
    }

    private void ask() {
        long now = mClock.getAsLong();
        Optional<String> own = mSpeakers.speaker(mFailureDomain, now);
        boolean isSpeaker = own.isEmpty() || own.get().equals(mInstance);
        if (isSpeaker) {
            countMembers(now);
        } else {
            ask(own.get(), now);
        }
        if (!isSpeaker && !isWorried(now)) {
            return;
        }
        for (String domain : mSpeakers.domains()) {
            if (!domain.equals(mFailureDomain)) {
                mSpeakers.speaker(domain, now).ifPresent(speaker -> ask(speaker, now));
            }
        }
    }

    /** Returns whether the lease will soon be lost unless there is contact with more instances. */
    private boolean isWorried(long nowNanos) {
        return mLease.heldUntilNanos(nowNanos) - nowNanos < WORRIED_NANOS;
    }

    private void ask(String asked, long nowNanos) {
        InstanceEntry entry = mOthers.get(asked);
        if (entry == null) {
            return;
        }
        mNumber++;
        mQuestions.put(mNumber, new Question(asked, nowNanos));
        LeadQuestion.Builder question = LeadQuestion.newBuilder().setNumber(mNumber);
        Stamp stamp = mStamps.get(asked);
        if (stamp != null) {
            question.setProcess(stamp.process).setStamp(stamp.time);
        }
        mBoard.fences()
                .forEach(
                        (service, fence) ->
                                question.addFences(FenceExchange.message(service, fence)));
        send(message().setLeadQuestion(question), entry);
    }

    /** Notes with how many instances of the own failure domain there is contact. */
    private void countMembers(long nowNanos) {
        mMembers.values().removeIf(at -> nowNanos - at > MEMBER_NANOS);
        long oldest = nowNanos;
        for (long at : mMembers.values()) {
            oldest = at - oldest < 0 ? at : oldest;
        }
        mLease.onContact(mFailureDomain, new LeadLease.Contact(mMembers.size() + 1, oldest));
    }

    /** Notes a contact with an instance of the own domain that repeats a stamp of this process. */
    private void noteMember(String instance, LeadQuestion question, long nowNanos) {
        InstanceEntry entry = mOthers.get(instance);
        boolean isNeighbour = entry != null && entry.failureDomain().equals(mFailureDomain);
        long age = nowNanos - question.getStamp();
        boolean isRecent = age >= 0 && age < MEMBER_NANOS;
        if (isNeighbour && question.getProcess() == mProcess && isRecent) {
            mMembers.put(instance, question.getStamp());
            countMembers(nowNanos);
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
        mSpeakers.onHeard(instance);
        question.getFencesList().forEach(mFences::take);
        noteMember(instance, question, now);
        LeadAnswer.Builder answer =
                LeadAnswer.newBuilder()
                        .setNumber(question.getNumber())
                        .setProcess(mProcess)
                        .setStamp(now);
        mLease.contacts()
                .forEach(
                        (domain, contacts) ->
                                contacts.forEach(each -> addContact(answer, domain, each, now)));
        mBoard.fences()
                .forEach(
                        (service, fence) ->
                                answer.addFences(FenceExchange.message(service, fence)));
        mPeers.send(message().setLeadAnswer(answer).build(), sender);
    }

    private static void addContact(
            LeadAnswer.Builder answer, String domain, LeadLease.Contact contact, long nowNanos) {
        long age = nowNanos - contact.atNanos();
        if (age >= LeadLease.LEASE_NANOS) {
            return;
        }
        answer.addContacts(
                DomainContact.newBuilder()
                        .setFailureDomain(domain)
                        .setInstances(contact.instances())
                        .setAgeMillis(PeerAge.millis(age)));
    }

    void onAnswer(LeadAnswer answer) {
        Question question = mQuestions.remove(answer.getNumber());
        if (question == null) {
            return;
        }
        answer.getFencesList().forEach(mFences::take);
        mSpeakers.onHeard(question.asked);
        mStamps.put(question.asked, new Stamp(answer.getProcess(), answer.getStamp()));
        for (DomainContact contact : answer.getContactsList()) {
            long age = PeerAge.nanos(contact.getAgeMillis());
            mLease.onContact(
                    contact.getFailureDomain(),
                    new LeadLease.Contact(contact.getInstances(), question.sentNanos - age));
        }
        publish();
    }

    /** Returns what this instance knows of replacements. */
    FenceExchange fences() {
        return mFences;
    }

    FenceBoard board() {
        return mBoard;
    }

    /** Takes over an announcement of another instance. */
    void onNotice(LeadFence notice, InetSocketAddress sender) {
        if (mStarted) {
            mFences.onNotice(notice, sender);
        }
    }

    /** Tells traffic which primaries may be used. */
    void publish() {
        if (!mStarted) {
            return;
        }
        long now = mClock.getAsLong();
        // Orders of earlier days are known from the store only.
        long until = mClaims.isKnown() ? mLease.heldUntilNanos(now) : now;
        mGuard.publish(until, mClaims.heldUntilNanos(), mClaims.claimed(), mBoard.onlyPrimaries());
        boolean isHeld = until - now > 0;
        if (isHeld != mHeld) {
            mHeld = isHeld;
            mNotHeldSinceNanos = now;
            GatewayEvent.LEAD_LEASE.log(isHeld ? "held" : "lost", mLease.contacts().keySet());
        }
    }
}
