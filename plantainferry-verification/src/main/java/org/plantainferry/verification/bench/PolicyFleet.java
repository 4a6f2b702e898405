package org.plantainferry.verification.bench;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.daemon.settings.DaemonSettings;
import org.plantainferry.verification.standin.group.GroupSettings;
import org.plantainferry.verification.standin.group.GroupStandIn;

/** Runs instances before three database groups whose replicas lag by 5 to 20 ms. */
final class PolicyFleet implements AutoCloseable {
    private static final int GROUP_COUNT = 3;
    private static final int SERVERS_PER_GROUP = 3;
    private static final int MIN_LAG_MILLIS = 5;
    private static final int MAX_LAG_MILLIS = 20;

    private final List<GroupStandIn> mGroups = new ArrayList<>();
    private final InProcessFleet mFleet;

    PolicyFleet(
            EventLoopGroup relays,
            PolicyDeployment deployment,
            DaemonSettings.Policy policy,
            List<FailureDomain> domains,
            int workspaces,
            double rate,
            double burst,
            long seed)
            throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        List<Service> services = new ArrayList<>();
        for (int number = 0; number < GROUP_COUNT; number++) {
            services.add(startGroup(number, deployment, domains, random));
        }
        mFleet =
                new InProcessFleet(
                        relays,
                        domains,
                        policy,
                        Configurations.configuration(
                                domains,
                                services,
                                Configurations.workspaces(workspaces, rate, burst, services)));
    }

    private Service startGroup(
            int number,
            PolicyDeployment deployment,
            List<FailureDomain> domains,
            SplittableRandom random)
            throws IOException {
        String name = "ledger-" + number;
        List<GroupSettings.Server> servers = new ArrayList<>();
        List<TargetServer> targets = new ArrayList<>();
        for (int index = 0; index < SERVERS_PER_GROUP; index++) {
            String id = name + "-" + (index + 1);
            String address = "127.0.0.1:" + InProcessFleet.freePort();
            servers.add(new GroupSettings.Server(id, address));
            targets.add(
                    new TargetServer(
                            new ServerId(id),
                            address,
                            domains.get((number + index) % deployment.failureDomains().length)));
        }
        GroupStandIn group =
                new GroupStandIn(
                        new GroupSettings(
                                name,
                                "127.0.0.1:" + InProcessFleet.freePort(),
                                servers,
                                Optional.of(deployment.slots()),
                                Optional.empty(),
                                Optional.of(deployment.connectionLimit()),
                                Optional.of(deployment.openMillis()),
                                Optional.empty(),
                                Optional.empty(),
                                Optional.empty(),
                                Optional.empty()));
        for (GroupSettings.Server server : servers) {
            group.setLagMillis(server.id(), random.nextInt(MIN_LAG_MILLIS, MAX_LAG_MILLIS + 1));
        }
        mGroups.add(group);
        return new Service(
                new ServiceName(name), deployment.slots(), deployment.connectionLimit(), targets);
    }

    List<String> callerAddresses() {
        return mFleet.callerAddresses();
    }

    String serviceName(int number) {
        return "ledger-" + number % GROUP_COUNT;
    }

    /** Returns the group whose primary is stopped in measurements. */
    GroupStandIn firstGroup() {
        return mGroups.get(0);
    }

    @Override
    public void close() {
        mFleet.close();
        mGroups.forEach(GroupStandIn::close);
    }
}
