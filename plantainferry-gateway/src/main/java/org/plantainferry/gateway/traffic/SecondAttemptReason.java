package org.plantainferry.gateway.traffic;

import org.plantainferry.engine.retry.RetryDecision;

/** Words why a statement is not sent again; {@code plantainferry explain} matches the words. */
final class SecondAttemptReason {
    private SecondAttemptReason() {}

    /** Returns what is added to the reason of a failure; empty where the failure says enough. */
    static String of(RetryDecision.Reason reason) {
        return switch (reason) {
            case ROOM_SHORT -> "; not retried: the servers have no room";
            case BUDGET_USED -> "; not retried: the budget for retries is used up";
            default -> "";
        };
    }
}
