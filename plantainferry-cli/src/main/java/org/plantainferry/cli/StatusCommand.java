package org.plantainferry.cli;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.network.operator.InstanceStatus;
import org.plantainferry.network.operator.MemberStatus;
import org.plantainferry.network.operator.ServerStatus;
import org.plantainferry.network.operator.ServiceStatus;
import org.plantainferry.network.operator.WorkspaceStatus;
import org.plantainferry.network.store.InstanceRecord;

/** Shows what one instance knows, or what all listed instances answer. */
@Parameters(
        commandDescription =
                "Shows one instance in detail (--instance), or all instances in short (--store)")
final class StatusCommand implements Command {
    @ParametersDelegate private final GlobalOptions mOptions;

    StatusCommand(GlobalOptions options) {
        mOptions = options;
    }

    @Override
    public Outcome run(CommandContext context) {
        if (context.options().instance() != null) {
            return showInstance(context, context.options().instance());
        }
        Preconditions.condition(
                context.options().store() != null,
                "status needs --instance HOST:PORT or --store HOST:PORT");
        return showAllInstances(context);
    }

    @Override
    public String example() {
        return "plantainferry --instance 10.0.0.11:7403 status";
    }

    private static Outcome showInstance(CommandContext context, String address) {
        InstanceStatus status;
        try {
            status = context.statusReader().read(address).join();
        } catch (CompletionException e) {
            String reason = e.getCause() == null ? e.getMessage() : e.getCause().getMessage();
            return Outcome.unavailable(
                    reason + ".", "ask another instance, or all of them with --store.");
        }
        return Outcome.done(
                        ChangeStatus.NO,
                        "Instance "
                                + status.instance()
                                + " is "
                                + status.state()
                                + " with version "
                                + status.configurationVersion()
                                + ".")
                .withDetails(toLines(status), status);
    }

    private static Outcome showAllInstances(CommandContext context) {
        List<InstanceRecord> listed;
        long version;
        try {
            BlockingStoreClient store = context.openStore();
            version = CurrentConfiguration.read(store).configuration().version();
            listed = store.instances();
        } catch (PlantainferryException e) {
            if (e.code() == ErrorCode.ARGUMENT_INVALID) {
                throw e;
            }
            return Outcome.unavailable(
                    e.getMessage() + ".",
                    "check the store, or ask one instance with --instance HOST:PORT.");
        }
        List<FleetStatusReader.InstanceResult> answers =
                new FleetStatusReader(context.statusReader()).read(listed);
        long current = answers.stream().filter(each -> each.hasVersion(version)).count();
        List<FleetEntry> entries = answers.stream().map(FleetEntry::of).toList();
        return Outcome.done(
                        ChangeStatus.NO,
                        "Version "
                                + version
                                + " is in the store, and in force on "
                                + current
                                + " of "
                                + answers.size()
                                + " listed instances.")
                .withDetails(
                        entries.stream().map(FleetEntry::toLine).toList(),
                        new FleetData(version, entries));
    }

    private static List<String> toLines(InstanceStatus status) {
        List<String> lines = new ArrayList<>();
        lines.add(
                "instance %s  failure domain %s  %s"
                        .formatted(status.instance(), status.failureDomain(), status.freshness()));
        for (MemberStatus each : status.members()) {
            lines.add(
                    "member %-20s %-14s %-10s version %d  heard %s"
                            .formatted(
                                    each.instance(),
                                    each.failureDomain(),
                                    each.state(),
                                    each.configurationVersion(),
                                    formatMillis(each.lastHeardAgeMillis(), " ago", "never")));
        }
        for (ServiceStatus service : status.services()) {
            lines.add(
                    "service %s  term %d  primary %s"
                            .formatted(
                                    service.service(),
                                    service.term(),
                                    service.primary().map(Object::toString).orElse("none")));
            service.servers().forEach(server -> lines.add(toLine(server)));
        }
        for (WorkspaceStatus each : status.workspaces()) {
            lines.add(
                    "workspace %-20s rate %.1f/s  granted here %.1f/s  used here %.1f/s"
                            .formatted(
                                    each.workspace(),
                                    each.ratePerSecond(),
                                    each.grantedRatePerSecond(),
                                    each.usedPerSecond()));
        }
        return lines;
    }

    private static String toLine(ServerStatus server) {
        return "  server %-20s %-8s term %d  position %d  lag %s%s%s"
                .formatted(
                        server.server(),
                        server.role(),
                        server.term(),
                        server.position(),
                        formatMillis(server.lagMillis(), "", "unknown"),
                        server.reachable() ? "" : "  not reachable",
                        server.leaving() ? "  leaving" : "");
    }

    private static String formatMillis(Optional<Long> age, String suffix, String none) {
        return age.map(millis -> millis + " ms" + suffix).orElse(none);
    }

    private record FleetData(long version, List<FleetEntry> instances) {}

    private record FleetEntry(
            String instance,
            String failureDomain,
            String state,
            boolean reachable,
            Optional<Long> configurationVersion,
            Optional<String> freshness) {
        static FleetEntry of(FleetStatusReader.InstanceResult answer) {
            Optional<InstanceStatus> status = answer.status();
            return new FleetEntry(
                    answer.instance().id().value(),
                    answer.instance().failureDomain().value(),
                    status.map(InstanceStatus::state).orElse(answer.instance().state()),
                    status.isPresent(),
                    status.map(InstanceStatus::configurationVersion),
                    status.map(InstanceStatus::freshness));
        }

        String toLine() {
            return "%-24s %-14s %-8s %s"
                    .formatted(
                            instance,
                            failureDomain,
                            state,
                            reachable
                                    ? "version "
                                            + configurationVersion.orElse(0L)
                                            + "  "
                                            + freshness.orElse("")
                                    : "not reachable");
        }
    }
}
