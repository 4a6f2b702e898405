package org.plantainferry.cli;

import java.util.List;
import org.plantainferry.api.configuration.Configuration;

/** Words the result of applying a release note. */
final class EditOutcomes {
    private EditOutcomes() {}

    /**
     * Words a result.
     *
     * @param repeat what the operator does when the store did not answer
     */
    static Outcome of(EditResult result, String repeat) {
        return switch (result.kind()) {
            case APPLIED ->
                    withDifferences(Outcome.done(ChangeStatus.YES, sentence(result)), result)
                            .withNextStep(waitHint(result.next()));
            case WOULD_APPLY ->
                    withDifferences(
                            Outcome.done(
                                    ChangeStatus.NO, sentence(result) + " Nothing was changed."),
                            result);
            case ALREADY_APPLIED ->
                    Outcome.done(ChangeStatus.NO, sentence(result) + " Nothing was changed.")
                            .withNextStep(waitHint(result.base()));
            case CONFLICT ->
                    Outcome.refused(
                            sentence(result),
                            "see with \"plantainferry history\" what was applied meanwhile, write"
                                    + " the note against version "
                                    + result.base().version()
                                    + " if it is still right, and apply it again.");
            case REFUSED ->
                    Outcome.refused(
                            sentence(result),
                            "correct what the message names, and run the command again.");
            case UNAVAILABLE ->
                    Outcome.unavailable(
                            sentence(result),
                            "check that the store is up and its address is right, and run the"
                                    + " command again.");
            case UNKNOWN -> Outcome.unknown(sentence(result), repeat);
        };
    }

    private static Outcome withDifferences(Outcome outcome, EditResult result) {
        List<PartDifference> differences =
                ConfigurationComparison.between(result.base().parts(), result.next().parts());
        return outcome.withDetails(
                differences.stream().map(PartDifference::toLine).toList(),
                new EditData(result.base().version(), result.next().version(), differences));
    }

    private static String sentence(EditResult result) {
        String text = result.message();
        return Character.toUpperCase(text.charAt(0))
                + text.substring(1)
                + (text.endsWith(".") ? "" : ".");
    }

    private static String waitHint(Configuration configuration) {
        return "run \"plantainferry wait --version "
                + configuration.version()
                + "\" until it is in force everywhere.";
    }

    private record EditData(long fromVersion, long toVersion, List<PartDifference> differences) {}
}
