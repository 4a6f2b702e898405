package org.plantainferry.api.configuration;

import org.plantainferry.api.Preconditions;

/**
 * Lists what an operator adds, changes and withdraws in one step.
 *
 * @param id the identifier of the note, unique over all notes
 * @param against the version of the configuration against which it was written; 0 for none
 * @param added parts that must not exist yet
 * @param changed parts that must exist; a changed workspace keeps its keys when it lists none
 * @param withdrawn parts that must exist
 * @since 0.1
 */
public record ReleaseNote(
        String id,
        long against,
        ConfigurationParts added,
        ConfigurationParts changed,
        WithdrawnParts withdrawn) {
    /** Checks the identifier; missing lists are empty. */
    public ReleaseNote {
        Preconditions.validName(id, "release note id");
        Preconditions.condition(against >= 0, "against must not be negative: " + against);
        added = added == null ? ConfigurationParts.EMPTY : added;
        changed = changed == null ? ConfigurationParts.EMPTY : changed;
        withdrawn = withdrawn == null ? WithdrawnParts.NONE : withdrawn;
    }

    /** Returns whether the note adds, changes and withdraws nothing. */
    public boolean isEmpty() {
        return added.isEmpty() && changed.isEmpty() && withdrawn.isEmpty();
    }
}
