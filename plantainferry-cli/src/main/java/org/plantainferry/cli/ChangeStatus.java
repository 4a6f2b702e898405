package org.plantainferry.cli;

/** Says whether a command changed anything. */
enum ChangeStatus {
    /** Something was changed. */
    YES("yes", "The change was made."),
    /** Nothing was changed. */
    NO("no", "Nothing was changed."),
    /** It is not known whether anything was changed. */
    UNKNOWN("unknown", "It is not known whether anything was changed.");

    private final String mLabel;
    private final String mSentence;

    ChangeStatus(String label, String sentence) {
        mLabel = label;
        mSentence = sentence;
    }

    /** Returns the name in JSON output. */
    String label() {
        return mLabel;
    }

    String sentence() {
        return mSentence;
    }
}
