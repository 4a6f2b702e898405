package org.plantainferry.api.configuration;

import org.plantainferry.api.Preconditions;

/**
 * Lists the parts that an operator adds, changes and withdraws in one configuration update.
 *
 * @param id the identifier of the note, unique across all notes
 * @param against the configuration version against which it was written; 0 for the empty
 *     configuration
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
    /** Checks the identifier and the version; missing lists are empty. */
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
