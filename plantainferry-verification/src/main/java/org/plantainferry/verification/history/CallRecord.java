package org.plantainferry.verification.history;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Records one call with its times.
 *
 * @param call the request
 * @param startNanos the monotonic time before it was sent
 * @param endNanos the monotonic time after its end
 * @param outcome how it ended
 * @param answer the answer; present exactly when one arrived
 * @since 0.1
 */
public record CallRecord(
        Call call, long startNanos, long endNanos, Outcome outcome, Optional<Answer> answer) {
    /** Returns whether the request ran and the client knows its result. */
    public boolean isSuccess() {
        return answer.map(Answer::isSuccess).orElse(false);
    }

    /** Returns whether nothing can have run: it was refused as not run or was never sent. */
    public boolean isNotRun() {
        return outcome == Outcome.NOT_SENT || answer.map(Answer::isNotRun).orElse(false);
    }

    /** Returns whether it is a read or write that answers with a value. */
    public boolean hasOperation(Operation operation) {
        return call.operation() == operation;
    }

    /** Returns the time from start to end in milliseconds. */
    public long durationMillis() {
        return TimeUnit.NANOSECONDS.toMillis(endNanos - startNanos);
    }

    /** Returns a short text that names the call in a report. */
    public String describe() {
        return call.client()
                + " at "
                + call.instance()
                + " "
                + call.operation()
                + " "
                + call.service()
                + " \""
                + call.statement()
                + "\" -> "
                + answer.map(a -> a.status() + " " + a.verdict() + " " + a.code())
                        .orElse(outcome.name());
    }
}
