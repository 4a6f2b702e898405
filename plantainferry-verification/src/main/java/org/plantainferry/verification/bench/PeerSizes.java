package org.plantainferry.verification.bench;

import org.plantainferry.engine.limit.ShareAnswer;
import org.plantainferry.engine.limit.ShareRequest;
import org.plantainferry.engine.membership.HeartbeatView;
import org.plantainferry.network.peer.generated.DomainReport;
import org.plantainferry.network.peer.generated.GroupTerm;
import org.plantainferry.network.peer.generated.Heartbeat;
import org.plantainferry.network.peer.generated.MemberUpdate;
import org.plantainferry.network.peer.generated.PeerMessage;
import org.plantainferry.network.peer.generated.WorkspaceGrant;
import org.plantainferry.network.peer.generated.WorkspaceShare;

/** Returns the sizes of peer messages in bytes, with the length that precedes each. */
final class PeerSizes {
    private static final int CALL = 100_000;

    // Most messages have a length of two bytes.
    private static final int LENGTH_BYTES = 2;

    private PeerSizes() {}

    static int heartbeat(HeartbeatView view) {
        Heartbeat.Builder builder =
                Heartbeat.newBuilder()
                        .setInstance(view.instance().value())
                        .setIncarnation(view.incarnation())
                        .setConfigurationVersion(view.status().configurationVersion())
                        .setConfirmationAgeMillis(view.status().confirmationAgeMillis().orElse(0L))
                        .setConfirmed(true)
                        .setStoreReachable(view.status().storeReachable())
                        .setFailureDomain(view.failureDomain().value());
        view.status()
                .groupTerms()
                .forEach(
                        term ->
                                builder.addGroupTerms(
                                        GroupTerm.newBuilder()
                                                .setService(term.service().value())
                                                .setTerm(term.term())
                                                .setPrimary(
                                                        term.primary()
                                                                .map(Object::toString)
                                                                .orElse(""))));
        view.status()
                .domains()
                .forEach(
                        report ->
                                builder.addDomains(
                                        DomainReport.newBuilder()
                                                .setFailureDomain(report.failureDomain().value())
                                                .setHeardAgeMillis(report.heardAgeMillis())
                                                .setStoreReachable(report.storeReachable())));
        view.members()
                .forEach(
                        update ->
                                builder.addMembers(
                                        MemberUpdate.newBuilder()
                                                .setInstance(update.instance().value())
                                                .setIncarnation(update.incarnation())
                                                .setHeardAgeMillis(update.heardAgeMillis())
                                                .setLeaving(update.leaving())));
        return size(PeerMessage.newBuilder().setCall(CALL).setHeartbeat(builder).build());
    }

    static int request(ShareRequest request) {
        org.plantainferry.network.peer.generated.ShareRequest.Builder builder =
                org.plantainferry.network.peer.generated.ShareRequest.newBuilder()
                        .setInstance(request.instance().value())
                        .setConfigurationVersion(request.configurationVersion())
                        .setSequence(request.sequence())
                        .setNonce(request.nonce());
        for (ShareRequest.Share share : request.shares()) {
            builder.addShares(
                    WorkspaceShare.newBuilder()
                            .setWorkspace(share.workspace().value())
                            .setDepositedSlots(share.depositedSlots())
                            .setDepositedTokens(share.depositedTokens())
                            .setDemandPerSecond(share.demandPerSecond())
                            .setLevel(share.level())
                            .setWaiting(share.waiting()));
        }
        return size(PeerMessage.newBuilder().setCall(CALL).setShareRequest(builder).build());
    }

    static int answer(ShareAnswer answer) {
        org.plantainferry.network.peer.generated.ShareAnswer.Builder builder =
                org.plantainferry.network.peer.generated.ShareAnswer.newBuilder()
                        .setConfigurationVersion(answer.configurationVersion())
                        .setSequence(answer.sequence())
                        .setNonce(answer.nonce());
        for (ShareAnswer.Grant grant : answer.grants()) {
            builder.addGrants(
                    WorkspaceGrant.newBuilder()
                            .setWorkspace(grant.workspace().value())
                            .setRatePerSecond(grant.ratePerSecond())
                            .setCapacity(grant.capacity())
                            .setTokens(grant.tokens())
                            .setValidNanos(grant.validNanos())
                            .setMoreSoon(grant.moreSoon()));
        }
        return size(PeerMessage.newBuilder().setCall(CALL).setShareAnswer(builder).build());
    }

    private static int size(PeerMessage message) {
        return message.toByteArray().length + LENGTH_BYTES;
    }
}
