package org.plantainferry.cli;

import java.util.List;
import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.store.StoreObject;
import org.plantainferry.network.store.WriteCondition;

/**
 * Holds the configuration in force together with the condition for replacing it.
 *
 * @param configuration the content
 * @param condition holds as long as nobody has replaced it
 */
record CurrentConfiguration(Configuration configuration, WriteCondition condition) {
    static final String PATH = "configuration/current";

    /**
     * Reads the configuration in force; empty before the first release note.
     *
     * @throws PlantainferryException with {@code STORE_UNAVAILABLE}, or with {@code
     *     CONFIGURATION_INVALID} when the stored object cannot be read
     */
    static CurrentConfiguration read(BlockingStoreClient store) {
        Optional<StoreObject> object = store.get(PATH);
        if (object.isEmpty()) {
            return new CurrentConfiguration(Configuration.EMPTY, WriteCondition.ABSENT);
        }
        Configuration configuration =
                Json.read(
                        object.get().value().orElse(""),
                        Configuration.class,
                        ErrorCode.CONFIGURATION_INVALID);
        return new CurrentConfiguration(
                configuration, WriteCondition.atVersion(object.get().version()));
    }

    /** Returns the version to which a note led, if it is one of the latest notes. */
    Optional<Long> versionOfNote(String noteId) {
        List<String> notes = configuration.notes();
        int index = notes.lastIndexOf(noteId);
        return index < 0
                ? Optional.empty()
                : Optional.of(configuration.version() - (notes.size() - 1 - index));
    }
}
