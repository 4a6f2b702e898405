package org.plantainferry.verification.history;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Records one call with its start, end and outcome.
 *
 * @param call the request
 * @param startNanos the monotonic time before the request was sent
 * @param endNanos the monotonic time after the call ended
 * @param outcome how the call ended
 * @param answer the answer; present exactly when one arrived
 * @since 0.1
 */
public record CallRecord(
        Call call, long startNanos, long endNanos, Outcome outcome, Optional<Answer> answer) {
    /** Returns whether the request ran and the client knows its result. */
    public boolean isSuccess() {
        return answer.map(Answer::isSuccess).orElse(false);
    }

    /**
     * Returns whether the request certainly did not run: it was refused as not run or never sent.
     */
    public boolean isNotRun() {
        return outcome == Outcome.NOT_SENT || answer.map(Answer::isNotRun).orElse(false);
    }

    /** Returns whether the call has the given operation. */
    public boolean hasOperation(Operation operation) {
        return call.operation() == operation;
    }

    /** Returns the duration of the call in milliseconds. */
    public long durationMillis() {
        return TimeUnit.NANOSECONDS.toMillis(endNanos - startNanos);
    }

    /** Returns a short description of the call for reports. */
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
