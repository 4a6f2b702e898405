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

/** Finds the differences between two versions of the configuration. */
final class ConfigurationComparison {
    private final List<PartDifference> mDifferences = new ArrayList<>();

    private ConfigurationComparison() {}

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
        Map<String, JsonNode> old = byName(before);
        Map<String, JsonNode> now = byName(after);
        for (String name : union(old, now)) {
            JsonNode was = old.get(name);
            JsonNode is = now.get(name);
            if (was == null) {
                mDifferences.add(new PartDifference("added", part, name, is.toString()));
            } else if (is == null) {
                mDifferences.add(new PartDifference("withdrawn", part, name, ""));
            } else if (!was.equals(is)) {
                mDifferences.add(new PartDifference("changed", part, name, changedFields(was, is)));
            }
        }
    }

    private void compareKeys(Map<String, String> before, Map<String, String> after) {
        for (String name : union(before, after)) {
            String was = before.get(name);
            String is = after.get(name);
            if (was == null) {
                mDifferences.add(new PartDifference("added", "key", name, ""));
            } else if (is == null) {
                mDifferences.add(new PartDifference("withdrawn", "key", name, ""));
            } else if (!was.equals(is)) {
                mDifferences.add(new PartDifference("changed", "key", name, ""));
            }
        }
    }

    private static String changedFields(JsonNode was, JsonNode is) {
        Set<String> names = new LinkedHashSet<>();
        was.fieldNames().forEachRemaining(names::add);
        is.fieldNames().forEachRemaining(names::add);
        List<String> changes = new ArrayList<>();
        for (String name : names) {
            String old = was.path(name).isMissingNode() ? "none" : was.get(name).toString();
            String now = is.path(name).isMissingNode() ? "none" : is.get(name).toString();
            if (!old.equals(now)) {
                changes.add(name + ": " + old + " -> " + now);
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
        return workspaces.stream().map(each -> each.withKeys(List.of())).toList();
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

    private static Set<String> union(Map<String, ?> one, Map<String, ?> other) {
        Set<String> names = new LinkedHashSet<>(one.keySet());
        names.addAll(other.keySet());
        return names;
    }
}
