package org.plantainferry.verification.scenario;

/** Reports the line of a scenario that is invalid, and the reason. */
final class ScenarioSyntaxException extends Exception {
    private static final long serialVersionUID = 1L;

    ScenarioSyntaxException(int line, String reason) {
        super("line " + line + ": " + reason);
    }
}
