package org.plantainferry.cli;

import java.util.List;
import java.util.Optional;

/**
 * Holds the result of a command.
 *
 * @param exitCode the exit code
 * @param changed whether anything was changed
 * @param message one or more sentences
 * @param nextStep what the operator does next; empty when nothing is left to do
 * @param details lines for human readers
 * @param data the same details for JSON output
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

    static Outcome refused(String message, String next) {
        return failed(ExitCode.REFUSED, message, next);
    }

    static Outcome badUsage(String message, String next) {
        return failed(ExitCode.BAD_USAGE, message, next);
    }

    static Outcome unavailable(String message, String next) {
        return failed(ExitCode.UNAVAILABLE, message, next);
    }

    static Outcome unknown(String message, String next) {
        return new Outcome(
                ExitCode.OUTCOME_UNKNOWN,
                ChangeStatus.UNKNOWN,
                message,
                Optional.of(next),
                List.of(),
                Optional.empty());
    }

    Outcome withNextStep(String otherNext) {
        return new Outcome(exitCode, changed, message, Optional.of(otherNext), details, data);
    }

    Outcome withDetails(List<String> otherDetails, Object otherData) {
        return new Outcome(
                exitCode,
                changed,
                message,
                nextStep,
                List.copyOf(otherDetails),
                Optional.of(otherData));
    }

    private static Outcome failed(ExitCode exitCode, String message, String next) {
        return new Outcome(
                exitCode, ChangeStatus.NO, message, Optional.of(next), List.of(), Optional.empty());
    }
}
