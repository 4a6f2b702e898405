package org.plantainferry.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.api.configuration.Workspace;

/** Finds parts of a valid configuration that no request can use, and limits that contradict. */
final class ConfigurationReview {
    private final ConfigurationParts mParts;
    private final int mShareSlots;
    private final List<String> mFindings = new ArrayList<>();

    private ConfigurationReview(Configuration configuration) {
        mParts = configuration.parts();
        mShareSlots = configuration.totalShareSlots();
    }

    /** Returns the findings, each as a sentence without its period. */
    static List<String> findingsOf(Configuration configuration) {
        ConfigurationReview review = new ConfigurationReview(configuration);
        configuration.parts().workspaces().forEach(review::reviewWorkspace);
        configuration.parts().services().forEach(review::reviewService);
        review.reviewAddresses();
        return List.copyOf(review.mFindings);
    }

    private void reviewWorkspace(Workspace workspace) {
        boolean hasOpenRoute =
                mParts.openRoutes().stream()
                        .anyMatch(route -> route.workspace().equals(workspace.name()));
        String name = "workspace " + workspace.name();
        if (workspace.keys().isEmpty() && !hasOpenRoute) {
            mFindings.add(name + " can never be used: it has neither a key nor an open route");
        }
        if (workspace.services().isEmpty() && !workspace.keys().isEmpty()) {
            mFindings.add(name + " has keys that never match: it may use no service");
        }
        if (workspace.burst() < mShareSlots) {
            mFindings.add(
                    name
                            + " has a burst of "
                            + workspace.burst()
                            + ", which is less than one statement for each of the "
                            + mShareSlots
                            + " share slots");
        }
    }

    private void reviewService(Service service) {
        boolean isUsed =
                mParts.workspaces().stream().anyMatch(workspace -> workspace.mayUse(service.name()))
                        || mParts.openRoutes().stream()
                                .anyMatch(route -> route.service().equals(service.name()));
        String name = "service " + service.name();
        if (!isUsed) {
            mFindings.add(name + " can never be used: no workspace and no open route leads to it");
        }
        if (service.connectionLimit() < mShareSlots) {
            mFindings.add(
                    name
                            + " has a connectionLimit of "
                            + service.connectionLimit()
                            + ", which is less than one connection for each of the "
                            + mShareSlots
                            + " share slots");
        }
    }

    private void reviewAddresses() {
        Map<String, TargetServer> byAddress = new HashMap<>();
        for (Service service : mParts.services()) {
            for (TargetServer server : service.servers()) {
                TargetServer other = byAddress.putIfAbsent(server.address(), server);
                if (other != null) {
                    mFindings.add(
                            "server "
                                    + server.id()
                                    + " can never be reached: server "
                                    + other.id()
                                    + " has the same address");
                }
            }
        }
    }
}
