package org.plantainferry.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainferry.api.configuration.CallerKey;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.Workspace;
import org.plantainferry.api.json.Json;

/** Compares two versions of the configuration. */
final class ConfigurationComparison {
    private final List<PartDifference> mDifferences = new ArrayList<>();

    private ConfigurationComparison() {}

    /** Returns the differences; keys are compared by their hash, which is not shown. */
    static List<PartDifference> between(ConfigurationParts before, ConfigurationParts after) {
        ConfigurationComparison result = new ConfigurationComparison();
        result.compare("failure domain", before.failureDomains(), after.failureDomains());
        result.compare("service", before.services(), after.services());
        result.compare(
                "workspace", withoutKeys(before.workspaces()), withoutKeys(after.workspaces()));
        result.compare("open route", before.openRoutes(), after.openRoutes());
        result.compareKeys(keyHashes(before), keyHashes(after));
        return List.copyOf(result.mDifferences);
    }

    private void compare(String part, List<?> before, List<?> after) {
        Map<String, JsonNode> oldParts = byName(before);
        Map<String, JsonNode> newParts = byName(after);
        for (String name : union(oldParts, newParts)) {
            JsonNode oldPart = oldParts.get(name);
            JsonNode newPart = newParts.get(name);
            if (oldPart == null) {
                mDifferences.add(new PartDifference("added", part, name, newPart.toString()));
            } else if (newPart == null) {
                mDifferences.add(new PartDifference("withdrawn", part, name, ""));
            } else if (!oldPart.equals(newPart)) {
                mDifferences.add(
                        new PartDifference("changed", part, name, changedFields(oldPart, newPart)));
            }
        }
    }

    private void compareKeys(Map<String, String> before, Map<String, String> after) {
        for (String name : union(before, after)) {
            String oldHash = before.get(name);
            String newHash = after.get(name);
            if (oldHash == null) {
                mDifferences.add(new PartDifference("added", "key", name, ""));
            } else if (newHash == null) {
                mDifferences.add(new PartDifference("withdrawn", "key", name, ""));
            } else if (!oldHash.equals(newHash)) {
                mDifferences.add(new PartDifference("changed", "key", name, ""));
            }
        }
    }

    private static String changedFields(JsonNode oldPart, JsonNode newPart) {
        Set<String> names = new LinkedHashSet<>();
        oldPart.fieldNames().forEachRemaining(names::add);
        newPart.fieldNames().forEachRemaining(names::add);
        List<String> changes = new ArrayList<>();
        for (String name : names) {
            String oldValue =
                    oldPart.path(name).isMissingNode() ? "none" : oldPart.get(name).toString();
            String newValue =
                    newPart.path(name).isMissingNode() ? "none" : newPart.get(name).toString();
            if (!oldValue.equals(newValue)) {
                changes.add(name + ": " + oldValue + " -> " + newValue);
            }
        }
        return String.join(", ", changes);
    }

    private static Map<String, JsonNode> byName(List<?> parts) {
        Map<String, JsonNode> result = new LinkedHashMap<>();
        for (Object part : parts) {
            ObjectNode node = Json.strict().valueToTree(part);
            result.put(node.remove("name").asText(), node);
        }
        return result;
    }

    private static List<Workspace> withoutKeys(List<Workspace> workspaces) {
        return workspaces.stream().map(workspace -> workspace.withKeys(List.of())).toList();
    }

    private static Map<String, String> keyHashes(ConfigurationParts parts) {
        Map<String, String> result = new LinkedHashMap<>();
        for (Workspace workspace : parts.workspaces()) {
            for (CallerKey key : workspace.keys()) {
                result.put(workspace.name() + "/" + key.id(), key.sha256());
            }
        }
        return result;
    }

    private static Set<String> union(Map<String, ?> first, Map<String, ?> second) {
        Set<String> names = new LinkedHashSet<>(first.keySet());
        names.addAll(second.keySet());
        return names;
    }
}
