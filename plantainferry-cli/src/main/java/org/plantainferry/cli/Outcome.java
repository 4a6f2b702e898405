package org.plantainferry.cli;

import java.util.List;
import java.util.Optional;

/**
 * Holds the result of a command.
 *
 * @param exitCode the exit code
 * @param changed whether anything was changed
 * @param message what happened, in one or more sentences
 * @param nextStep what the operator should do next; empty when nothing is left to do
 * @param details lines for human readers
 * @param data the same details for JSON output; empty when there are none
 */
record Outcome(
        ExitCode exitCode,
        ChangeStatus changed,
        String message,
        Optional<String> nextStep,
        List<String> details,
        Optional<Object> data) {

    static Outcome done(ChangeStatus changed, String message) {
        return new Outcome(
                ExitCode.DONE, changed, message, Optional.empty(), List.of(), Optional.empty());
    }

    static Outcome refused(String message, String nextStep) {
        return failed(ExitCode.REFUSED, message, nextStep);
    }

    static Outcome badUsage(String message, String nextStep) {
        return failed(ExitCode.BAD_USAGE, message, nextStep);
    }

    static Outcome unavailable(String message, String nextStep) {
        return failed(ExitCode.UNAVAILABLE, message, nextStep);
    }

    static Outcome unknown(String message, String nextStep) {
        return new Outcome(
                ExitCode.OUTCOME_UNKNOWN,
                ChangeStatus.UNKNOWN,
                message,
                Optional.of(nextStep),
                List.of(),
                Optional.empty());
    }

    Outcome withNextStep(String newNextStep) {
        return new Outcome(exitCode, changed, message, Optional.of(newNextStep), details, data);
    }

    Outcome withDetails(List<String> newDetails, Object newData) {
        return new Outcome(
                exitCode,
                changed,
                message,
                nextStep,
                List.copyOf(newDetails),
                Optional.of(newData));
    }

    private static Outcome failed(ExitCode exitCode, String message, String nextStep) {
        return new Outcome(
                exitCode,
                ChangeStatus.NO,
                message,
                Optional.of(nextStep),
                List.of(),
                Optional.empty());
    }
}
