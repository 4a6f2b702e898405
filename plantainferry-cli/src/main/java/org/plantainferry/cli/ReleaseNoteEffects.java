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

/** Distinguishes a repeated release note from a different one with the same identifier. */
final class ReleaseNoteEffects {
    private ReleaseNoteEffects() {}

    /** Returns whether the parts are in the state that applying the note last would produce. */
    static boolean arePresentIn(ConfigurationParts parts, ReleaseNote note) {
        return containsParts(parts, note.added(), note.withdrawn())
                && containsParts(parts, note.changed(), note.withdrawn())
                && lacksWithdrawnParts(parts, note);
    }

    private static boolean containsParts(
            ConfigurationParts parts, ConfigurationParts expected, WithdrawnParts withdrawn) {
        return parts.failureDomains().containsAll(expected.failureDomains())
                && parts.services().containsAll(expected.services())
                && parts.openRoutes().containsAll(expected.openRoutes())
                && expected.workspaces().stream()
                        .allMatch(workspace -> containsWorkspace(parts, workspace, withdrawn))
                && expected.keys().stream().allMatch(key -> containsKey(parts, key));
    }

    private static boolean containsWorkspace(
            ConfigurationParts parts, Workspace expected, WithdrawnParts withdrawn) {
        // The note may add keys separately and withdraw keys that the workspace lists, so further
        // keys are accepted and withdrawn ones are not required.
        List<CallerKey> keys =
                expected.keys().stream()
                        .filter(
                                key ->
                                        !withdrawn
                                                .keys()
                                                .contains(
                                                        new WithdrawnParts.KeyReference(
                                                                expected.name(), key.id())))
                        .toList();
        return parts.workspaces().stream()
                .anyMatch(
                        workspace ->
                                workspace.withKeys(List.of()).equals(expected.withKeys(List.of()))
                                        && workspace.keys().containsAll(keys));
    }

    private static boolean containsKey(ConfigurationParts parts, WorkspaceKey expected) {
        return parts.workspaces().stream()
                .anyMatch(
                        workspace ->
                                workspace.name().equals(expected.workspace())
                                        && workspace.keys().contains(expected.key()));
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
                                addedKey ->
                                        addedKey.workspace().equals(key.workspace())
                                                && addedKey.id().equals(key.id()));
        return !addedAgain
                && parts.workspaces().stream()
                        .filter(workspace -> workspace.name().equals(key.workspace()))
                        .flatMap(workspace -> workspace.keys().stream())
                        .anyMatch(callerKey -> callerKey.id().equals(key.id()));
    }

    private static <K, T> boolean noneRemain(
            List<K> withdrawn, List<T> parts, List<T> added, Function<T, K> nameOf) {
        // A note may withdraw a part and add another one with the same name.
        return withdrawn.stream()
                .filter(name -> added.stream().noneMatch(part -> nameOf.apply(part).equals(name)))
                .noneMatch(
                        name -> parts.stream().anyMatch(part -> nameOf.apply(part).equals(name)));
    }
}
