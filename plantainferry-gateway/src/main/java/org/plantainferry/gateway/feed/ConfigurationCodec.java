package org.plantainferry.gateway.feed;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.catalog.DigestedKeys;
import org.plantainferry.engine.catalog.GroupSettings;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.plantainferry.gateway.peer.generated.ConfigurationDescription;
import org.plantainferry.gateway.peer.generated.GroupDescription;
import org.plantainferry.gateway.peer.generated.KeyDescription;
import org.plantainferry.gateway.peer.generated.LimitDescription;
import org.plantainferry.gateway.peer.generated.RouteDescription;

/** Encodes configurations, with digests in place of the keys of callers. */
final class ConfigurationCodec implements FeedCodec<RoutingConfiguration> {
    @Override
    public ByteString encode(RoutingConfiguration configuration) {
        ConfigurationDescription.Builder description =
                ConfigurationDescription.newBuilder()
                        .setVersion(configuration.version())
                        .setTransactionIdleMillis(configuration.transactionIdleMillis());
        configuration.routes().values().forEach(route -> description.addRoutes(encode(route)));
        configuration
                .groups()
                .forEach((service, group) -> description.addGroups(encode(service, group)));
        configuration
                .keys()
                .workspaceByDigest()
                .forEach((digest, workspace) -> description.addKeys(encode(digest, workspace)));
        configuration
                .limits()
                .forEach((workspace, limit) -> description.addLimits(encode(workspace, limit)));
        return description.build().toByteString();
    }

    private static RouteDescription encode(DatabaseRoute route) {
        return RouteDescription.newBuilder()
                .setDatabase(route.database())
                .setService(route.service())
                .setGuarantee(route.guarantee().name())
                .setMaximumAgeMillis(route.maximumAgeMillis())
                .setStatementTimeoutMillis(route.statementTimeoutMillis())
                .setLatencyObjectiveMillis(route.latencyObjectiveMillis())
                .setPriority(route.priority())
                .setOpen(route.open())
                .build();
    }

    private static GroupDescription encode(String service, GroupSettings group) {
        return GroupDescription.newBuilder()
                .setService(service)
                .setMaximumConnections(group.maximumConnections())
                .setSynchronousReplicas(group.synchronousReplicas())
                .build();
    }

    private static KeyDescription encode(String digest, String workspace) {
        return KeyDescription.newBuilder().setDigest(digest).setWorkspace(workspace).build();
    }

    private static LimitDescription encode(String workspace, WorkspaceLimit limit) {
        return LimitDescription.newBuilder()
                .setWorkspace(workspace)
                .setRatePerSecond(limit.ratePerSecond())
                .setBurst(limit.burst())
                .build();
    }

    @Override
    public RoutingConfiguration decode(String name, ByteString content)
            throws InvalidProtocolBufferException {
        ConfigurationDescription description = ConfigurationDescription.parseFrom(content);
        return new RoutingConfiguration(
                description.getVersion(),
                routes(description),
                groups(description),
                keys(description),
                limits(description),
                description.getTransactionIdleMillis());
    }

    private static Map<String, DatabaseRoute> routes(ConfigurationDescription description)
            throws InvalidProtocolBufferException {
        Map<String, DatabaseRoute> routes = new HashMap<>();
        for (RouteDescription route : description.getRoutesList()) {
            routes.put(
                    route.getDatabase(),
                    new DatabaseRoute(
                            route.getDatabase(),
                            route.getService(),
                            guarantee(route.getGuarantee()),
                            route.getMaximumAgeMillis(),
                            route.getStatementTimeoutMillis(),
                            route.getLatencyObjectiveMillis(),
                            route.getPriority(),
                            route.getOpen()));
        }
        return routes;
    }

    private static ReadGuarantee guarantee(String name) throws InvalidProtocolBufferException {
        try {
            return ReadGuarantee.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException("unknown guarantee " + name, e);
        }
    }

    private static Map<String, GroupSettings> groups(ConfigurationDescription description) {
        Map<String, GroupSettings> groups = new HashMap<>();
        for (GroupDescription group : description.getGroupsList()) {
            groups.put(
                    group.getService(),
                    new GroupSettings(
                            group.getMaximumConnections(), group.getSynchronousReplicas()));
        }
        return groups;
    }

    private static DigestedKeys keys(ConfigurationDescription description) {
        Map<String, String> workspaceByDigest = new HashMap<>();
        for (KeyDescription key : description.getKeysList()) {
            workspaceByDigest.put(key.getDigest(), key.getWorkspace());
        }
        return new DigestedKeys(workspaceByDigest);
    }

    private static Map<String, WorkspaceLimit> limits(ConfigurationDescription description) {
        Map<String, WorkspaceLimit> limits = new HashMap<>();
        for (LimitDescription limit : description.getLimitsList()) {
            limits.put(
                    limit.getWorkspace(),
                    new WorkspaceLimit(limit.getRatePerSecond(), limit.getBurst()));
        }
        return limits;
    }
}
