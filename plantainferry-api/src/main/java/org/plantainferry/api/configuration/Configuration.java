package org.plantainferry.api.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;

/**
 * Holds one numbered, immutable version of everything that operators decide.
 *
 * @param version the number of this version; 0 before the first release note
 * @param notes identifiers of the latest release notes, the newest last
 * @param parts the content
 * @since 0.1
 */
public record Configuration(long version, List<String> notes, ConfigurationParts parts) {
    /** The number of release notes whose identifiers are kept to recognise a repeated note. */
    public static final int MAX_RETAINED_NOTES = 64;

    /** The configuration before the first release note. */
    public static final Configuration EMPTY =
            new Configuration(0, List.of(), ConfigurationParts.EMPTY);

    /** Checks the rules that hold between the parts. */
    public Configuration {
        Preconditions.condition(version >= 0, "version must not be negative: " + version);
        notes = notes == null ? List.of() : List.copyOf(notes);
        Preconditions.notNull(parts, "parts");
        List<String> mistakes = ConfigurationValidator.findMistakes(parts);
        Preconditions.condition(mistakes.isEmpty(), String.join("; ", mistakes));
    }

    /** Returns whether a release note is one of those already applied. */
    public boolean includesNote(String noteId) {
        return notes.contains(noteId);
    }

    /**
     * Returns the next version, to which a release note leads.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code VERSION_CONFLICT} when the
     *     note was written against another version, and with {@code CONFIGURATION_INVALID} and all
     *     mistakes when it does not fit this version
     */
    public Configuration apply(ReleaseNote note) {
        ConfigurationParts next = new ReleaseNoteApplier(this, note).apply();
        List<String> nextNotes = new ArrayList<>(notes);
        nextNotes.add(note.id());
        int surplus = Math.max(0, nextNotes.size() - MAX_RETAINED_NOTES);
        return new Configuration(version + 1, nextNotes.subList(surplus, nextNotes.size()), next);
    }

    /** Returns the service with a name. */
    public Optional<Service> service(ServiceName name) {
        return parts.services().stream().filter(each -> each.name().equals(name)).findFirst();
    }

    /** Returns the workspace with a name. */
    public Optional<Workspace> workspace(WorkspaceName name) {
        return parts.workspaces().stream().filter(each -> each.name().equals(name)).findFirst();
    }

    /** Returns the open route with a name. */
    public Optional<OpenRoute> openRoute(String name) {
        return parts.openRoutes().stream().filter(each -> each.name().equals(name)).findFirst();
    }

    /** Returns the number of share slots over all failure domains. */
    @JsonIgnore
    public int totalShareSlots() {
        return parts.failureDomains().stream().mapToInt(DomainShare::shareSlots).sum();
    }
}
