package org.plantainferry.cli;

import java.util.List;
import java.util.function.Function;
import org.plantainferry.api.configuration.CallerKey;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.DomainShare;
import org.plantainferry.api.configuration.OpenRoute;
import org.plantainferry.api.configuration.ReleaseNote;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.WithdrawnParts;
import org.plantainferry.api.configuration.Workspace;
import org.plantainferry.api.configuration.WorkspaceKey;

/** Tells a repeated release note from another one that was given the same identifier. */
final class ReleaseNoteEffects {
    private ReleaseNoteEffects() {}

    /** Returns whether the parts are as the note, applied last, would have left them. */
    static boolean arePresentIn(ConfigurationParts parts, ReleaseNote note) {
        return containsParts(parts, note.added(), note.withdrawn())
                && containsParts(parts, note.changed(), note.withdrawn())
                && lacksWithdrawnParts(parts, note);
    }

    private static boolean containsParts(
            ConfigurationParts parts, ConfigurationParts given, WithdrawnParts withdrawn) {
        return parts.failureDomains().containsAll(given.failureDomains())
                && parts.services().containsAll(given.services())
                && parts.openRoutes().containsAll(given.openRoutes())
                && given.workspaces().stream()
                        .allMatch(each -> containsWorkspace(parts, each, withdrawn))
                && given.keys().stream().allMatch(each -> containsKey(parts, each));
    }

    private static boolean containsWorkspace(
            ConfigurationParts parts, Workspace given, WithdrawnParts withdrawn) {
        // Keys that the workspace does not list may stem from the note's own list of keys.
        List<CallerKey> keys =
                given.keys().stream()
                        .filter(
                                key ->
                                        !withdrawn
                                                .keys()
                                                .contains(
                                                        new WithdrawnParts.KeyReference(
                                                                given.name(), key.id())))
                        .toList();
        return parts.workspaces().stream()
                .anyMatch(
                        each ->
                                each.withKeys(List.of()).equals(given.withKeys(List.of()))
                                        && each.keys().containsAll(keys));
    }

    private static boolean containsKey(ConfigurationParts parts, WorkspaceKey given) {
        return parts.workspaces().stream()
                .anyMatch(
                        each ->
                                each.name().equals(given.workspace())
                                        && each.keys().contains(given.key()));
    }

    private static boolean lacksWithdrawnParts(ConfigurationParts parts, ReleaseNote note) {
        WithdrawnParts withdrawn = note.withdrawn();
        ConfigurationParts added = note.added();
        return noneRemain(
                        withdrawn.failureDomains(),
                        parts.failureDomains(),
                        added.failureDomains(),
                        DomainShare::name)
                && noneRemain(
                        withdrawn.services(), parts.services(), added.services(), Service::name)
                && noneRemain(
                        withdrawn.workspaces(),
                        parts.workspaces(),
                        added.workspaces(),
                        Workspace::name)
                && noneRemain(
                        withdrawn.openRoutes(),
                        parts.openRoutes(),
                        added.openRoutes(),
                        OpenRoute::name)
                && withdrawn.keys().stream().noneMatch(key -> keyRemains(parts, added, key));
    }

    private static boolean keyRemains(
            ConfigurationParts parts, ConfigurationParts added, WithdrawnParts.KeyReference key) {
        boolean addedAgain =
                added.keys().stream()
                        .anyMatch(
                                each ->
                                        each.workspace().equals(key.workspace())
                                                && each.id().equals(key.id()));
        return !addedAgain
                && parts.workspaces().stream()
                        .filter(each -> each.name().equals(key.workspace()))
                        .flatMap(each -> each.keys().stream())
                        .anyMatch(each -> each.id().equals(key.id()));
    }

    private static <K, T> boolean noneRemain(
            List<K> withdrawn, List<T> parts, List<T> added, Function<T, K> name) {
        // A note may withdraw a part and add another one of the same name.
        return withdrawn.stream()
                .filter(key -> added.stream().noneMatch(each -> name.apply(each).equals(key)))
                .noneMatch(key -> parts.stream().anyMatch(each -> name.apply(each).equals(key)));
    }
}
