package org.plantainferry.verification.scenario;

import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ReleaseNote;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.store.PlatformStore;
import org.plantainferry.network.store.StoreObject;
import org.plantainferry.network.store.WriteCondition;
import org.plantainferry.verification.history.HistoryEvent;
import org.plantainferry.verification.history.HistoryRecorder;

/** Applies release notes to the store as an operator does, and records accepted versions. */
final class ConfigurationWriter {
    static final String PATH = "configuration/current";
    private static final int ATTEMPTS = 5;

    /** Lists the ways in which the application of a note ends. */
    enum Result {
        ACCEPTED,
        CONFLICT
    }

    private final PlatformStore mStore;
    private final HistoryRecorder mRecorder;

    ConfigurationWriter(PlatformStore store, HistoryRecorder recorder) {
        mStore = store;
        mRecorder = recorder;
    }

    void writeInitial(Configuration configuration) {
        mStore.put(PATH, Json.write(configuration), WriteCondition.ABSENT).join();
        recordAccepted(configuration.version());
    }

    /** Returns the configuration in the store. */
    Configuration read() {
        return parse(mStore.get(PATH).join().orElseThrow());
    }

    /** Writes notes against the version in force until one is accepted. */
    Configuration applyToCurrent(Function<Configuration, ReleaseNote> note) {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            Configuration base = read();
            if (apply(note.apply(base)) == Result.ACCEPTED) {
                return base;
            }
        }
        throw new IllegalStateException("the note was not accepted in " + ATTEMPTS + " attempts");
    }

    /** Applies a note once; a lost answer is resolved by reading the object back. */
    Result apply(ReleaseNote note) {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            StoreObject object = mStore.get(PATH).join().orElseThrow();
            Configuration base = parse(object);
            if (base.includesNote(note.id())) {
                recordAccepted(base.version());
                return Result.ACCEPTED;
            }
            if (note.against() != base.version()) {
                return Result.CONFLICT;
            }
            Configuration next = base.apply(note);
            try {
                Optional<Long> written =
                        mStore.put(
                                        PATH,
                                        Json.write(next),
                                        WriteCondition.atVersion(object.version()))
                                .join();
                if (written.isPresent()) {
                    recordAccepted(next.version());
                    return Result.ACCEPTED;
                }
            } catch (CompletionException e) {
                // The change may have taken effect; the next attempt reads it back.
                if (!(e.getCause() instanceof PlantainferryException)) {
                    throw e;
                }
            }
        }
        return Result.CONFLICT;
    }

    private void recordAccepted(long version) {
        mRecorder.add(
                new HistoryEvent(
                        System.nanoTime(),
                        HistoryEvent.Kind.VERSION_ACCEPTED,
                        "configuration",
                        version));
    }

    private static Configuration parse(StoreObject object) {
        return Json.read(
                object.value().orElseThrow(), Configuration.class, ErrorCode.CONFIGURATION_INVALID);
    }
}
