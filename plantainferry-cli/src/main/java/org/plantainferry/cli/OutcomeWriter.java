package org.plantainferry.cli;

import java.io.PrintStream;
import java.util.Optional;
import org.plantainferry.api.json.Json;

/** Writes outcomes as text or as JSON. */
final class OutcomeWriter {
    private final PrintStream mOut;
    private final PrintStream mErr;

    OutcomeWriter(PrintStream out, PrintStream err) {
        mOut = out;
        mErr = err;
    }

    /**
     * Writes one outcome.
     *
     * <p>JSON always goes to the standard output. Text goes to the standard output when the command
     * succeeded, and to the error output when it failed.
     */
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
        boolean succeeded = outcome.exitCode() == ExitCode.DONE;
        PrintStream stream = succeeded ? mOut : mErr;
        outcome.details().forEach(stream::println);
        stream.println(outcome.message());
        if (!succeeded) {
            stream.println(outcome.changed().sentence());
        }
        outcome.nextStep().ifPresent(step -> stream.println("Next: " + step));
    }

    private record OutcomeBody(
            String outcome,
            int exitCode,
            String changed,
            String message,
            Optional<String> next,
            Optional<Object> data) {}
}
