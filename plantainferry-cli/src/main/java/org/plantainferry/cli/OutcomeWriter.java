package org.plantainferry.cli;

import java.io.PrintStream;
import java.util.Optional;
import org.plantainferry.api.json.Json;

/** Writes outcomes, for people or for programs. */
final class OutcomeWriter {
    private final PrintStream mOut;
    private final PrintStream mErr;

    OutcomeWriter(PrintStream out, PrintStream err) {
        mOut = out;
        mErr = err;
    }

    /** Writes people's results to the standard output and their failures to the error output. */
    void write(Outcome outcome, OutputFormat format) {
        if (format == OutputFormat.JSON) {
            mOut.println(
                    Json.write(
                            new OutcomeBody(
                                    outcome.exitCode().label(),
                                    outcome.exitCode().number(),
                                    outcome.changed().label(),
                                    outcome.message(),
                                    outcome.nextStep(),
                                    outcome.data())));
            return;
        }
        boolean done = outcome.exitCode() == ExitCode.DONE;
        PrintStream target = done ? mOut : mErr;
        outcome.details().forEach(target::println);
        target.println(outcome.message());
        if (!done) {
            target.println(outcome.changed().sentence());
        }
        outcome.nextStep().ifPresent(next -> target.println("Next: " + next));
    }

    private record OutcomeBody(
            String outcome,
            int exitCode,
            String changed,
            String message,
            Optional<String> next,
            Optional<Object> data) {}
}
