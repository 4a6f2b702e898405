package org.plantainferry.cli;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ReleaseNote;
import org.plantainferry.api.json.Json;

/**
 * Applies a release note with one conditional update of the configuration.
 *
 * <p>When the answer to the update is lost, the editor reads the configuration back. As long as the
 * object still has the version that the update was conditional on, the update may yet arrive; the
 * editor then repeats the same update, of which at most one can succeed. Once the object has
 * another version, the update either shows among its notes or can never take effect.
 */
final class ConfigurationEditor {
    private static final int MAX_ATTEMPTS = 10;
    private static final long RETRY_DELAY_MILLIS = 500;
    // The store holds values of up to 1 MB.
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final BlockingStoreClient mStore;
    private final TimeSource mTimeSource;

    ConfigurationEditor(BlockingStoreClient store, TimeSource timing) {
        mStore = store;
        mTimeSource = timing;
    }

    /** Says what applying a note would do, without doing it. */
    EditResult preview(ReleaseNoteSource source) {
        try {
            CurrentConfiguration current = CurrentConfiguration.read(mStore);
            Optional<EditResult> repeated = resultIfAlreadyApplied(current, source);
            if (repeated.isPresent()) {
                return repeated.get();
            }
            EditResult planned = plan(current, source);
            return planned.kind() == EditResult.Kind.APPLIED
                    ? new EditResult(
                            EditResult.Kind.WOULD_APPLY,
                            planned.base(),
                            planned.next(),
                            "release note "
                                    + source.noteId()
                                    + " would lead to version "
                                    + planned.next().version())
                    : planned;
        } catch (PlantainferryException e) {
            return readFailure(e);
        }
    }

    /** Applies a note; the result is definite unless its kind is {@code UNKNOWN}. */
    EditResult apply(ReleaseNoteSource source) {
        Optional<Update> uncertain = Optional.empty();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (attempt > 0) {
                mTimeSource.sleepMillis(RETRY_DELAY_MILLIS);
            }
            CurrentConfiguration current;
            try {
                current = CurrentConfiguration.read(mStore);
            } catch (PlantainferryException e) {
                if (uncertain.isEmpty()) {
                    return readFailure(e);
                }
                continue;
            }
            Optional<EditResult> known = resultOfEarlierAttempt(current, source, uncertain);
            if (known.isPresent()) {
                return known.get();
            }
            if (uncertain.isPresent()
                    && !uncertain.get().base().condition().equals(current.condition())) {
                // The condition of the update can never hold again.
                uncertain = Optional.empty();
            }
            EditResult planned = plan(current, source);
            if (planned.kind() != EditResult.Kind.APPLIED) {
                return planned;
            }
            Update update = new Update(current, planned);
            try {
                if (write(update)) {
                    return planned;
                }
            } catch (PlantainferryException e) {
                if (e.verdict() == Verdict.NOT_RUN && uncertain.isEmpty()) {
                    return EditResult.of(
                            EditResult.Kind.UNAVAILABLE, current.configuration(), e.getMessage());
                }
                uncertain = Optional.of(update);
            }
        }
        return attemptsExhausted(source, uncertain);
    }

    private Optional<EditResult> resultOfEarlierAttempt(
            CurrentConfiguration current, ReleaseNoteSource source, Optional<Update> uncertain) {
        if (uncertain.isEmpty()) {
            return resultIfAlreadyApplied(current, source);
        }
        EditResult planned = uncertain.get().planned();
        Configuration now = current.configuration();
        if (now.includesNote(source.noteId())) {
            return Optional.of(planned);
        }
        if (now.version() >= planned.next().version() + Configuration.MAX_RETAINED_NOTES) {
            return Optional.of(
                    EditResult.of(
                            EditResult.Kind.UNKNOWN,
                            now,
                            "so many other notes were applied meanwhile that release note "
                                    + source.noteId()
                                    + " cannot be found any more"));
        }
        return Optional.empty();
    }

    private static Optional<EditResult> resultIfAlreadyApplied(
            CurrentConfiguration current, ReleaseNoteSource source) {
        Optional<Long> version = current.versionOfNote(source.noteId());
        if (version.isEmpty()) {
            return Optional.empty();
        }
        Configuration configuration = current.configuration();
        ReleaseNote note = source.noteFor(configuration);
        boolean sameBase = note.against() == version.get() - 1;
        boolean overwritten = version.get() != configuration.version();
        if (sameBase
                && (overwritten || ReleaseNoteEffects.arePresentIn(configuration.parts(), note))) {
            return Optional.of(
                    EditResult.of(
                            EditResult.Kind.ALREADY_APPLIED,
                            configuration,
                            "release note "
                                    + note.id()
                                    + " is already applied, as version "
                                    + version.get()));
        }
        return Optional.of(
                EditResult.of(
                        EditResult.Kind.REFUSED,
                        configuration,
                        "another release note with the identifier "
                                + note.id()
                                + " was applied as version "
                                + version.get()));
    }

    private static EditResult plan(CurrentConfiguration current, ReleaseNoteSource source) {
        Configuration base = current.configuration();
        try {
            Configuration next = base.apply(source.noteFor(base));
            int bytes = Json.write(next).getBytes(StandardCharsets.UTF_8).length;
            if (bytes > MAX_VALUE_BYTES) {
                return EditResult.of(
                        EditResult.Kind.REFUSED,
                        base,
                        "the configuration would have "
                                + bytes
                                + " bytes, more than the "
                                + MAX_VALUE_BYTES
                                + " that the store holds");
            }
            return new EditResult(
                    EditResult.Kind.APPLIED,
                    base,
                    next,
                    "release note " + source.noteId() + " is applied as version " + next.version());
        } catch (PlantainferryException e) {
            boolean conflict = e.code() == ErrorCode.VERSION_CONFLICT;
            return EditResult.of(
                    conflict ? EditResult.Kind.CONFLICT : EditResult.Kind.REFUSED,
                    base,
                    e.getMessage());
        }
    }

    private boolean write(Update update) {
        return mStore.put(
                        CurrentConfiguration.PATH,
                        Json.write(update.planned().next()),
                        update.base().condition())
                .isPresent();
    }

    private static EditResult readFailure(PlantainferryException error) {
        if (error.code() == ErrorCode.CONFIGURATION_INVALID) {
            return EditResult.of(
                    EditResult.Kind.REFUSED,
                    Configuration.EMPTY,
                    "the configuration in the store cannot be read: " + error.getMessage());
        }
        return EditResult.of(EditResult.Kind.UNAVAILABLE, Configuration.EMPTY, error.getMessage());
    }

    private static EditResult attemptsExhausted(
            ReleaseNoteSource source, Optional<Update> uncertain) {
        if (uncertain.isPresent()) {
            return EditResult.of(
                    EditResult.Kind.UNKNOWN,
                    uncertain.get().planned().base(),
                    "the store did not say whether it took release note " + source.noteId());
        }
        return EditResult.of(
                EditResult.Kind.REFUSED,
                Configuration.EMPTY,
                "other operators changed the configuration at each of "
                        + MAX_ATTEMPTS
                        + " attempts");
    }

    private record Update(CurrentConfiguration base, EditResult planned) {}
}
