package org.plantainferry.daemon.control;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.engine.limit.ShareAnswer;
import org.plantainferry.engine.limit.ShareRequest;
import org.plantainferry.engine.membership.DomainReport;
import org.plantainferry.engine.membership.GroupTerm;
import org.plantainferry.engine.membership.HeartbeatContent;
import org.plantainferry.engine.membership.LocalStatus;
import org.plantainferry.engine.membership.MemberUpdate;
import org.plantainferry.network.peer.generated.Heartbeat;
import org.plantainferry.network.peer.generated.WorkspaceGrant;
import org.plantainferry.network.peer.generated.WorkspaceShare;

/**
 * Converts between control's records and the messages between instances.
 *
 * <p>Reading throws a {@link org.plantainferry.api.PlantainferryException} when a name or a number
 * in a message is outside its range.
 *
 * @since 0.1
 */
public final class PeerMessageCodec {
    private PeerMessageCodec() {}

    /** Writes a heartbeat. */
    public static Heartbeat encode(HeartbeatContent view) {
        LocalStatus status = view.status();
        Heartbeat.Builder builder =
                Heartbeat.newBuilder()
                        .setInstance(view.instance().value())
                        .setIncarnation(view.incarnation())
                        .setFailureDomain(view.failureDomain().value())
                        .setLeaving(view.leaving())
                        .setConfigurationVersion(status.configurationVersion())
                        .setConfirmed(status.confirmationAgeMillis().isPresent())
                        .setConfirmationAgeMillis(status.confirmationAgeMillis().orElse(0L))
                        .setStoreReachable(status.storeReachable())
                        .setAnswerWanted(view.answerWanted());
        status.groupTerms().forEach(each -> builder.addGroupTerms(encode(each)));
        status.domains().forEach(each -> builder.addDomains(encode(each)));
        view.members().forEach(each -> builder.addMembers(encode(each)));
        return builder.build();
    }

    private static org.plantainferry.network.peer.generated.GroupTerm encode(GroupTerm term) {
        return org.plantainferry.network.peer.generated.GroupTerm.newBuilder()
                .setService(term.service().value())
                .setTerm(term.term())
                .setPrimary(term.primary().map(ServerId::value).orElse(""))
                .build();
    }

    private static org.plantainferry.network.peer.generated.DomainReport encode(
            DomainReport report) {
        return org.plantainferry.network.peer.generated.DomainReport.newBuilder()
                .setFailureDomain(report.failureDomain().value())
                .setHeardAgeMillis(report.heardAgeMillis())
                .setStoreReachable(report.storeReachable())
                .build();
    }

    private static org.plantainferry.network.peer.generated.MemberUpdate encode(
            MemberUpdate update) {
        return org.plantainferry.network.peer.generated.MemberUpdate.newBuilder()
                .setInstance(update.instance().value())
                .setIncarnation(update.incarnation())
                .setHeardAgeMillis(update.heardAgeMillis())
                .setLeaving(update.leaving())
                .build();
    }

    /** Reads a heartbeat. */
    public static HeartbeatContent decode(Heartbeat message) {
        Optional<Long> age =
                message.getConfirmed()
                        ? Optional.of(message.getConfirmationAgeMillis())
                        : Optional.empty();
        List<GroupTerm> terms =
                message.getGroupTermsList().stream().map(PeerMessageCodec::decode).toList();
        List<DomainReport> domains =
                message.getDomainsList().stream().map(PeerMessageCodec::decode).toList();
        LocalStatus status =
                new LocalStatus(
                        message.getConfigurationVersion(),
                        age,
                        message.getStoreReachable(),
                        terms,
                        domains);
        return new HeartbeatContent(
                new InstanceId(message.getInstance()),
                message.getIncarnation(),
                new FailureDomain(message.getFailureDomain()),
                message.getLeaving(),
                status,
                message.getMembersList().stream().map(PeerMessageCodec::decode).toList(),
                message.getAnswerWanted());
    }

    private static GroupTerm decode(org.plantainferry.network.peer.generated.GroupTerm message) {
        return new GroupTerm(
                new ServiceName(message.getService()),
                message.getTerm(),
                decodeServer(message.getPrimary()));
    }

    static Optional<ServerId> decodeServer(String name) {
        return name.isEmpty() ? Optional.empty() : Optional.of(new ServerId(name));
    }

    private static DomainReport decode(
            org.plantainferry.network.peer.generated.DomainReport message) {
        return new DomainReport(
                new FailureDomain(message.getFailureDomain()),
                message.getHeardAgeMillis(),
                message.getStoreReachable());
    }

    private static MemberUpdate decode(
            org.plantainferry.network.peer.generated.MemberUpdate message) {
        return new MemberUpdate(
                new InstanceId(message.getInstance()),
                message.getIncarnation(),
                message.getHeardAgeMillis(),
                message.getLeaving());
    }

    /** Writes a share request. */
    public static org.plantainferry.network.peer.generated.ShareRequest encode(
            ShareRequest request) {
        org.plantainferry.network.peer.generated.ShareRequest.Builder builder =
                org.plantainferry.network.peer.generated.ShareRequest.newBuilder()
                        .setInstance(request.instance().value())
                        .setConfigurationVersion(request.configurationVersion())
                        .setSequence(request.sequence())
                        .setNonce(request.nonce())
                        .setProlongsUnlisted(request.renewsUnlisted());
        for (ShareRequest.Share share : request.shares()) {
            builder.addShares(
                    WorkspaceShare.newBuilder()
                            .setWorkspace(share.workspace().value())
                            .setDepositedSlots(share.depositedSlots())
                            .setDepositedTokens(share.depositedTokens())
                            .setDemandPerSecond(share.demandPerSecond())
                            .setLevel(share.grantTokens())
                            .setWaiting(share.waiting()));
        }
        return builder.build();
    }

    /** Reads a share request. */
    public static ShareRequest decode(
            org.plantainferry.network.peer.generated.ShareRequest message) {
        return new ShareRequest(
                new InstanceId(message.getInstance()),
                message.getConfigurationVersion(),
                message.getSequence(),
                message.getNonce(),
                message.getProlongsUnlisted(),
                message.getSharesList().stream().map(PeerMessageCodec::decode).toList());
    }

    private static ShareRequest.Share decode(WorkspaceShare message) {
        return new ShareRequest.Share(
                new WorkspaceName(message.getWorkspace()),
                message.getDepositedSlots(),
                message.getDepositedTokens(),
                message.getDemandPerSecond(),
                message.getLevel(),
                message.getWaiting());
    }

    /** Writes the answer to a share request. */
    public static org.plantainferry.network.peer.generated.ShareAnswer encode(ShareAnswer answer) {
        org.plantainferry.network.peer.generated.ShareAnswer.Builder builder =
                org.plantainferry.network.peer.generated.ShareAnswer.newBuilder()
                        .setConfigurationVersion(answer.configurationVersion())
                        .setSequence(answer.sequence())
                        .setNonce(answer.nonce())
                        .setDepositedSlots(answer.depositedSlots());
        for (ShareAnswer.Grant grant : answer.grants()) {
            builder.addGrants(
                    WorkspaceGrant.newBuilder()
                            .setWorkspace(grant.workspace().value())
                            .setRatePerSecond(grant.ratePerSecond())
                            .setCapacity(grant.capacity())
                            .setTokens(grant.tokens())
                            .setValidNanos(grant.validNanos())
                            .setMoreAfterNanos(grant.retryAfterNanos()));
        }
        return builder.build();
    }

    /** Reads the answer to a share request. */
    public static ShareAnswer decode(org.plantainferry.network.peer.generated.ShareAnswer message) {
        return new ShareAnswer(
                message.getConfigurationVersion(),
                message.getSequence(),
                message.getNonce(),
                message.getDepositedSlots(),
                message.getGrantsList().stream().map(PeerMessageCodec::decode).toList());
    }

    private static ShareAnswer.Grant decode(WorkspaceGrant message) {
        return new ShareAnswer.Grant(
                new WorkspaceName(message.getWorkspace()),
                message.getRatePerSecond(),
                message.getCapacity(),
                message.getTokens(),
                message.getValidNanos(),
                message.getMoreAfterNanos());
    }
}
