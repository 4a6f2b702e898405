package org.plantainferry.cli.log;

/**
 * Summarizes in a sentence the outcome that the last decision about a request implies.
 *
 * @since 0.2
 */
final class DecisionSummary {
    private DecisionSummary() {}

    /**
     * Returns the summary for the last log line about a request.
     *
     * @param requestId the id of the request
     */
    static String of(LogLine last, String requestId) {
        return switch (last.code()) {
            case "PF6301" -> notRouted(last.field("reason"));
            case "PF6302" -> refused(last.field("reason"));
            case "PF6303" ->
                    failed(last.field("outcome"), last.field("code"), last.field("reason"));
            case "PF6304" -> "The request was retried, and its log ends there: it succeeded.";
            case "PF6305" -> "The transaction was rolled back; none of its changes were kept.";
            case "PF6330" -> waited(last, requestId);
            default -> "The log ends with an event that says nothing about the outcome.";
        };
    }

    private static String notRouted(String reason) {
        if (isWithoutRoom(reason)) {
            return withoutRoom();
        }
        if (reason.contains("primary")) {
            return "It did not run: no primary was available; see the replacement above.";
        }
        if (reason.contains("no connection")) {
            return "It did not run: all connections of this instance to the server were in use.";
        }
        return "It did not run: no server was available in time.";
    }

    private static String refused(String reason) {
        if (reason.contains("rate and burst")) {
            return "It did not run: the workspace had used up its limit; \"limit\" above shows the"
                    + " rate and the demand that were counted.";
        }
        if (reason.contains("cannot confirm")) {
            return "It did not run: the store had not answered this instance for too long.";
        }
        if (reason.contains("short of processor time")) {
            return "It did not run: the instance had too little processor time; the PF6340 line"
                    + " above shows since when, and what took it.";
        }
        return "It did not run: the configuration does not allow it.";
    }

    private static boolean isWithoutRoom(String reason) {
        return reason.contains("no room")
                || reason.contains("more urgent")
                || reason.contains("wait at the server");
    }

    private static String withoutRoom() {
        return "It did not run: the servers had no room for it in time; PF6330 lines show who"
                + " waited, PF6310 what each server refused, and PF6320 what it is believed to"
                + " take.";
    }

    private static String waited(LogLine sum, String requestId) {
        if (sum.field("request").equals(requestId)) {
            return "It waited "
                    + sum.field("longest-ms")
                    + " ms for server "
                    + sum.field("server")
                    + ", the longest of the statements of priority "
                    + sum.field("priority")
                    + " since the line before; its further lines would show a failure.";
        }
        return isWithoutRoom(sum.field("reason")) ? withoutRoom() : notRouted(sum.field("reason"));
    }

    private static String failed(String outcome, String code, String reason) {
        if (outcome.equals("may-have-run")) {
            return "It may have run: its answer is missing; read the data to see whether it ran.";
        }
        if (code.equals("BEHIND")) {
            return "It did not run: every replica that was tried lacked a commit that it must see.";
        }
        if (code.equals("BUSY") && reason.contains("not retried")) {
            return "It had no effect: a server refused, and it was not sent again, so that the load"
                    + " did not grow; the caller was told when room is expected.";
        }
        if (code.equals("BUSY")) {
            return "It did not run: the servers were overloaded.";
        }
        return "It had no effect.";
    }
}
