package org.plantainferry.cli.log;

/**
 * Says in a sentence what the last decision about a request means.
 *
 * @since 0.2
 */
final class DecisionSummary {
    private DecisionSummary() {}

    static String of(LogLine last) {
        return switch (last.code()) {
            case "PF6301" -> notRouted(last.field("reason"));
            case "PF6302" -> refused(last.field("reason"));
            case "PF6303" -> failed(last.field("outcome"), last.field("code"));
            case "PF6304" -> "The request was sent again, and its log ends there: it succeeded.";
            case "PF6305" -> "The transaction was ended; nothing of it is kept.";
            default -> "The log ends with an event that says nothing about the outcome.";
        };
    }

    private static String notRouted(String reason) {
        if (reason.contains("primary")) {
            return "It did not run: the primary was missing or silent; see the replacement above.";
        }
        if (reason.contains("no connection")) {
            return "It did not run: all connections of this instance to the server were in use.";
        }
        return "It did not run: no server could take it in time.";
    }

    private static String refused(String reason) {
        if (reason.contains("rate and burst")) {
            return "It did not run: the workspace had used up its limit; \"limit\" above shows the"
                    + " rate and the demand that were counted.";
        }
        if (reason.contains("cannot confirm")) {
            return "It did not run: this instance had not heard from the store for too long.";
        }
        return "It did not run: the configuration does not allow it.";
    }

    private static String failed(String outcome, String code) {
        if (outcome.equals("may-have-run")) {
            return "It may have run: its answer is missing; read the data to learn whether it did.";
        }
        if (code.equals("BEHIND")) {
            return "It did not run: every replica that was asked lacked a commit that it must see.";
        }
        if (code.equals("BUSY")) {
            return "It did not run: the servers had more work than they take.";
        }
        return "Nothing of it is kept.";
    }
}
