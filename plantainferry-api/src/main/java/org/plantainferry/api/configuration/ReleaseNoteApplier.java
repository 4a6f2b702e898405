package org.plantainferry.api.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.WorkspaceName;

/** Works out the parts of the version to which a release note leads. */
final class ReleaseNoteApplier {
    private final Configuration mBase;
    private final ReleaseNote mNote;
    private final List<String> mMistakes = new ArrayList<>();

    ReleaseNoteApplier(Configuration base, ReleaseNote note) {
        mBase = base;
        mNote = note;
    }

    ConfigurationParts apply() {
        if (mNote.against() != mBase.version()) {
            throw new PlantainferryException(
                    ErrorCode.VERSION_CONFLICT,
                    "release note "
                            + mNote.id()
                            + " was written against version "
                            + mNote.against()
                            + ", but version "
                            + mBase.version()
                            + " is in force");
        }
        if (mNote.isEmpty()) {
            mMistakes.add("it adds, changes and withdraws nothing");
        }
        ConfigurationParts next = combineParts();
        if (mMistakes.isEmpty()) {
            mMistakes.addAll(ConfigurationValidator.findMistakes(next));
        }
        if (!mMistakes.isEmpty()) {
            throw new PlantainferryException(
                    ErrorCode.CONFIGURATION_INVALID,
                    "release note " + mNote.id() + ": " + String.join("; ", mMistakes));
        }
        return next;
    }

    private ConfigurationParts combineParts() {
        ConfigurationParts base = mBase.parts();
        ConfigurationParts added = mNote.added();
        ConfigurationParts changed = mNote.changed();
        WithdrawnParts withdrawn = mNote.withdrawn();
        return new ConfigurationParts(
                new Section<>("failure domain", DomainShare::name, base.failureDomains())
                        .apply(
                                added.failureDomains(),
                                changed.failureDomains(),
                                withdrawn.failureDomains()),
                new Section<>("service", Service::name, base.services())
                        .apply(added.services(), changed.services(), withdrawn.services()),
                combineWorkspaces(),
                new Section<>("open route", OpenRoute::name, base.openRoutes())
                        .apply(added.openRoutes(), changed.openRoutes(), withdrawn.openRoutes()),
                List.of());
    }

    private List<Workspace> combineWorkspaces() {
        List<Workspace> changed =
                mNote.changed().workspaces().stream().map(this::withKeptKeys).toList();
        List<Workspace> next =
                new Section<>("workspace", Workspace::name, mBase.parts().workspaces())
                        .apply(mNote.added().workspaces(), changed, mNote.withdrawn().workspaces());
        Map<WorkspaceName, Workspace> byName = new LinkedHashMap<>();
        next.forEach(workspace -> byName.put(workspace.name(), workspace));
        mNote.withdrawn().keys().forEach(reference -> withdrawKey(byName, reference));
        mNote.changed().keys().forEach(key -> changeKey(byName, key));
        mNote.added().keys().forEach(key -> addKey(byName, key));
        return List.copyOf(byName.values());
    }

    private Workspace withKeptKeys(Workspace changed) {
        if (!changed.keys().isEmpty()) {
            return changed;
        }
        return mBase.workspace(changed.name())
                .map(old -> changed.withKeys(old.keys()))
                .orElse(changed);
    }

    private void addKey(Map<WorkspaceName, Workspace> byName, WorkspaceKey added) {
        Workspace workspace = byName.get(added.workspace());
        if (workspace == null) {
            mMistakes.add("key " + added.id() + " is for no known workspace");
            return;
        }
        List<CallerKey> keys = new ArrayList<>(workspace.keys());
        keys.add(added.key());
        byName.put(workspace.name(), workspace.withKeys(keys));
    }

    private void changeKey(Map<WorkspaceName, Workspace> byName, WorkspaceKey changed) {
        if (withdrawKey(
                byName, new WithdrawnParts.KeyReference(changed.workspace(), changed.id()))) {
            addKey(byName, changed);
        }
    }

    private boolean withdrawKey(
            Map<WorkspaceName, Workspace> byName, WithdrawnParts.KeyReference reference) {
        Workspace workspace = byName.get(reference.workspace());
        List<CallerKey> keys =
                workspace == null ? new ArrayList<>() : new ArrayList<>(workspace.keys());
        if (!keys.removeIf(key -> key.id().equals(reference.id()))) {
            mMistakes.add("workspace " + reference.workspace() + " has no key " + reference.id());
            return false;
        }
        byName.put(workspace.name(), workspace.withKeys(keys));
        return true;
    }

    /** Applies the three lists of a note to one section of the configuration. */
    private final class Section<K, T> {
        private final String mPartType;
        private final Function<T, K> mKeyOf;
        private final Map<K, T> mParts = new LinkedHashMap<>();

        Section(String what, Function<T, K> key, List<T> base) {
            mPartType = what;
            mKeyOf = key;
            base.forEach(part -> mParts.put(key.apply(part), part));
        }

        List<T> apply(List<T> added, List<T> changed, List<K> withdrawn) {
            for (K key : withdrawn) {
                if (mParts.remove(key) == null) {
                    mMistakes.add("withdrawn " + mPartType + " " + key + " does not exist");
                }
            }
            for (T part : changed) {
                if (mParts.replace(mKeyOf.apply(part), part) == null) {
                    mMistakes.add(
                            "changed " + mPartType + " " + mKeyOf.apply(part) + " does not exist");
                }
            }
            for (T part : added) {
                if (mParts.putIfAbsent(mKeyOf.apply(part), part) != null) {
                    mMistakes.add(
                            "added " + mPartType + " " + mKeyOf.apply(part) + " exists already");
                }
            }
            return List.copyOf(mParts.values());
        }
    }
}
