package org.plantainferry.cli;

/** Lists the exit codes of the command line. */
enum ExitCode {
    /** The command succeeded, or its change was already in effect. */
    DONE(0, "done"),
    /** The command was refused, and nothing was changed. */
    REFUSED(1, "refused"),
    /** The command line or a file is invalid, and nothing was changed. */
    BAD_USAGE(2, "bad-usage"),
    /** The store or an instance did not answer, and nothing was changed. */
    UNAVAILABLE(3, "unavailable"),
    /** A change may or may not have been made. */
    OUTCOME_UNKNOWN(4, "outcome-unknown");

    private final int mNumber;
    private final String mLabel;

    ExitCode(int number, String label) {
        mNumber = number;
        mLabel = label;
    }

    int number() {
        return mNumber;
    }

    /** Returns the value in JSON output. */
    String label() {
        return mLabel;
    }
}
