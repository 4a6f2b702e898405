package org.plantainferry.verification.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.api.json.Json;
import org.plantainferry.engine.configuration.KeyDirectory;
import org.plantainferry.engine.membership.DomainReport;
import org.plantainferry.engine.membership.GroupTerm;
import org.plantainferry.engine.membership.HeartbeatContent;
import org.plantainferry.engine.membership.LocalStatus;
import org.plantainferry.engine.membership.Member;
import org.plantainferry.engine.membership.MemberUpdate;
import org.plantainferry.engine.membership.MembershipTable;
import org.plantainferry.engine.membership.RendezvousHash;

/** Measures parts of the engine at the full size, in this process and without a network. */
final class EngineBench {
    static final int INSTANCES = 520;
    private static final int SERVICES = 1_300;
    private static final int MONITORS_PER_GROUP = 3;
    private static final int GATEWAYS_PER_SERVICE = 12;
    private static final int MEASURED_ROUNDS = 400;
    private static final int HEAP_COPIES = 10;
    private static final String[] FAILURE_DOMAINS = {
        "north-a", "north-b", "north-c", "north-d", "south-a", "south-b", "south-c", "south-d"
    };
    private static final int[] CONFIGURATION_SIZES = {50, 400, 1_300};

    private final ResultWriter mResults;

    EngineBench(ResultWriter results) {
        mResults = results;
    }

    void run() {
        mResults.printLine(
                "== engine at %d instances, %d services, 8 failure domains", INSTANCES, 1_300);
        measureMembership();
        measureRanking();
        measureConfigurations();
        new ShareBench(mResults).run();
        mResults.printLoadAverage("after the engine");
    }

    static List<Member> createMembers() {
        List<Member> members = new ArrayList<>();
        for (int number = 0; number < INSTANCES; number++) {
            String host = "10." + number / 200 + "." + number % 200 + ".1";
            members.add(
                    new Member(
                            new InstanceId("instance-" + number + "-7f3a"),
                            new FailureDomain(FAILURE_DOMAINS[number % FAILURE_DOMAINS.length]),
                            host + ":7070",
                            host + ":8080",
                            host + ":9090",
                            false));
        }
        return members;
    }

    private static MembershipTable createTable(List<Member> members, long now) {
        MembershipTable table =
                new MembershipTable(
                        members.get(0), 1, RandomSource.XO_RO_SHI_RO_128_PP.create(1), now);
        table.onPlatformList(members, now);
        for (Member member : members) {
            table.onHeartbeat(createHeartbeat(member, members, 1), now);
        }
        return table;
    }

    private static HeartbeatContent createHeartbeat(
            Member member, List<Member> members, int round) {
        List<MemberUpdate> updates = new ArrayList<>();
        for (int index = 0; index < 8; index++) {
            Member other = members.get((round * 8 + index) % members.size());
            updates.add(new MemberUpdate(other.id(), 1_764_800_000_000L, 1_000, false));
        }
        List<DomainReport> domains = new ArrayList<>();
        for (String domain : FAILURE_DOMAINS) {
            domains.add(new DomainReport(new FailureDomain(domain), 700, true));
        }
        GroupTerm term =
                new GroupTerm(
                        new ServiceName("ledger-12"), 4, Optional.of(new ServerId("ledger-12-1")));
        LocalStatus status =
                new LocalStatus(1_000, Optional.of(900L), true, List.of(term), domains);
        return new HeartbeatContent(
                member.id(),
                1_764_800_000_000L,
                member.failureDomain(),
                false,
                status,
                updates,
                false);
    }

    private void measureMembership() {
        List<Member> members = createMembers();
        long heap = CostSample.usedHeapBytes();
        List<MembershipTable> tables = new ArrayList<>();
        for (int number = 0; number < HEAP_COPIES; number++) {
            tables.add(createTable(members, 0));
        }
        double memory = (CostSample.usedHeapBytes() - heap) / 1e6 / HEAP_COPIES;
        MembershipTable table = tables.get(0);
        long now = 0;
        long start = 0;
        for (int round = 0; round < 2 * MEASURED_ROUNDS; round++) {
            if (round == MEASURED_ROUNDS) {
                start = System.nanoTime();
            }
            now += MembershipTable.HEARTBEAT_INTERVAL_NANOS;
            table.tick(now);
            for (int each = 0; each < 4; each++) {
                Member sender = members.get((round * 4 + each) % members.size());
                table.onHeartbeat(createHeartbeat(sender, members, round), now);
                PeerMessageSizes.heartbeatBytes(
                        table.heartbeat(createHeartbeat(sender, members, 1).status(), false, now));
            }
        }
        double millis = (System.nanoTime() - start) / 1e6 / MEASURED_ROUNDS;
        mResults.printLine(
                "membership: %.2f MB a table; %.3f ms for each 500 ms (tick, 4 heartbeats in and"
                        + " out, written) = %.3f%% of a core; heartbeat with 8 updates, 8 domains,"
                        + " 1 term: %d bytes",
                memory,
                millis,
                millis / 5,
                PeerMessageSizes.heartbeatBytes(createHeartbeat(members.get(0), members, 1)));
    }

    private void measureRanking() {
        List<Member> members = createMembers();
        MembershipTable table = createTable(members, 0);
        List<Double> millis = new ArrayList<>();
        long heap = 0;
        Map<InstanceId, Integer> guarded = new TreeMap<>();
        for (int round = 0; round < 5; round++) {
            long before = CostSample.usedHeapBytes();
            long start = System.nanoTime();
            RendezvousHash hash = new RendezvousHash(table.snapshot());
            guarded.clear();
            for (int service = 0; service < SERVICES; service++) {
                hash.rankAcrossDomains("ledger-" + service, MONITORS_PER_GROUP)
                        .forEach(each -> guarded.merge(each, 1, Integer::sum));
                hash.rank("ledger-" + service, GATEWAYS_PER_SERVICE);
            }
            millis.add((System.nanoTime() - start) / 1e6);
            heap = CostSample.usedHeapBytes() - before;
            hash.version();
        }
        int most = guarded.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        mResults.printLine(
                "ranking: guardians and gateways of all services %.1f ms for each membership change"
                        + " (%s), %.2f MB; groups guarded in any rank: mean %.2f, most %d",
                millis.get(millis.size() - 1),
                millis,
                heap / 1e6,
                (double) SERVICES * MONITORS_PER_GROUP / INSTANCES,
                most);
    }

    static Configuration createConfiguration(int services, int workspaces) {
        List<FailureDomain> domains = Configurations.failureDomains(INSTANCES, FAILURE_DOMAINS);
        List<Service> all = new ArrayList<>();
        for (int number = 0; number < services; number++) {
            List<TargetServer> servers = new ArrayList<>();
            for (int server = 1; server <= 3; server++) {
                servers.add(
                        new TargetServer(
                                new ServerId("ledger-" + number + "-" + server),
                                "10." + number / 200 + "." + number % 200 + "." + server + ":5432",
                                domains.get((number + server) % FAILURE_DOMAINS.length)));
            }
            all.add(new Service(new ServiceName("ledger-" + number), 3, 50, servers));
        }
        // Each workspace may use a few services; a list of all in each would be 1,300 names.
        List<Service> few = all.subList(0, Math.min(3, all.size()));
        return Configurations.configuration(
                domains, all, Configurations.workspaces(workspaces, 1_000, 200, few));
    }

    private void measureConfigurations() {
        for (int size : CONFIGURATION_SIZES) {
            Configuration configuration = createConfiguration(size, size);
            String text = Json.write(configuration);
            int rounds = 40;
            long start = 0;
            long parsed = 0;
            Configuration read = configuration;
            for (int round = 0; round < 2 * rounds; round++) {
                if (round == rounds) {
                    start = System.nanoTime();
                    parsed = 0;
                }
                long begin = System.nanoTime();
                read = Json.read(text, Configuration.class, ErrorCode.CONFIGURATION_INVALID);
                parsed += System.nanoTime() - begin;
                new KeyDirectory(read);
            }
            long all = System.nanoTime() - start;
            long before = CostSample.usedHeapBytes();
            List<Configuration> kept = new ArrayList<>();
            for (int copy = 0; copy < HEAP_COPIES; copy++) {
                kept.add(Json.read(text, Configuration.class, ErrorCode.CONFIGURATION_INVALID));
            }
            double memory = (CostSample.usedHeapBytes() - before) / 1e6 / kept.size();
            mResults.printLine(
                    "configuration: %d services, %d workspaces with 3 services and 1 key:"
                            + " %d bytes, read %.1f ms, read and keys %.1f ms, %.2f MB",
                    size,
                    size,
                    text.length(),
                    parsed / 1e6 / rounds,
                    TimeUnit.NANOSECONDS.toMicros(all) / 1e3 / rounds,
                    memory);
        }
    }
}
