package org.plantainferry.api.configuration;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;

/**
 * Holds one immutable version of the configuration that operators maintain.
 *
 * @param version the number of this version; 0 before the first release note
 * @param notes identifiers of the most recent release notes, newest last
 * @param parts the services, workspaces and other parts
 * @since 0.1
 */
public record Configuration(long version, List<String> notes, ConfigurationParts parts) {
    /** The number of release notes whose identifiers are retained to detect a repeated note. */
    public static final int MAX_RETAINED_NOTES = 64;

    /** The configuration before the first release note. */
    public static final Configuration EMPTY =
            new Configuration(0, List.of(), ConfigurationParts.EMPTY);

    /** Checks the rules that apply across the parts. */
    public Configuration {
        Preconditions.condition(version >= 0, "version must not be negative: " + version);
        notes = notes == null ? List.of() : List.copyOf(notes);
        Preconditions.notNull(parts, "parts");
        List<String> mistakes = ConfigurationValidator.findMistakes(parts);
        Preconditions.condition(mistakes.isEmpty(), String.join("; ", mistakes));
    }

    /** Returns whether a release note is among the retained notes that are already applied. */
    public boolean includesNote(String noteId) {
        return notes.contains(noteId);
    }

    /**
     * Returns the next version, the result of applying a release note to this one.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code VERSION_CONFLICT} when the
     *     note was written against another version, and with {@code CONFIGURATION_INVALID} and all
     *     mistakes when it cannot be applied to this version
     */
    public Configuration apply(ReleaseNote note) {
        ConfigurationParts next = new ReleaseNoteApplier(this, note).apply();
        List<String> nextNotes = new ArrayList<>(notes);
        nextNotes.add(note.id());
        int discardedCount = Math.max(0, nextNotes.size() - MAX_RETAINED_NOTES);
        return new Configuration(
                version + 1, nextNotes.subList(discardedCount, nextNotes.size()), next);
    }

    /** Returns the service with the given name. */
    public Optional<Service> service(ServiceName name) {
        return parts.services().stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /** Returns the workspace with the given name. */
    public Optional<Workspace> workspace(WorkspaceName name) {
        return parts.workspaces().stream()
                .filter(workspace -> workspace.name().equals(name))
                .findFirst();
    }

    /** Returns the open route with the given name. */
    public Optional<OpenRoute> openRoute(String name) {
        return parts.openRoutes().stream().filter(route -> route.name().equals(name)).findFirst();
    }

    /** Returns the total number of share slots of all failure domains. */
    @JsonIgnore
    public int totalShareSlots() {
        return parts.failureDomains().stream().mapToInt(DomainShare::shareSlots).sum();
    }
}
