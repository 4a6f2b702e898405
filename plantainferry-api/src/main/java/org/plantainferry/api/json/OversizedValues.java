package org.plantainferry.api.json;

/**
 * Replaces values of a JSON text that are nested too deeply, and numbers that are too long, by
 * null.
 *
 * <p>The text is scanned once, without recursion. Text that is not JSON stays as it is where it has
 * no such values.
 */
final class OversizedValues {
    private static final String NULL = "null";

    private final String mText;
    private final int mMaxDepth;
    private final int mMaxNumberLength;
    private final StringBuilder mResult;
    private int mPosition;
    private int mDepth;

    private OversizedValues(String text, int maxDepth, int maxNumberLength) {
        mText = text;
        mMaxDepth = maxDepth;
        mMaxNumberLength = maxNumberLength;
        mResult = new StringBuilder(text.length());
    }

    /**
     * Returns a text without oversized values.
     *
     * @param maxDepth the number of nested objects and lists that are kept
     * @param maxNumberLength the number of characters of a number that is kept
     */
    static String remove(String text, int maxDepth, int maxNumberLength) {
        return new OversizedValues(text, maxDepth, maxNumberLength).remove();
    }

    private String remove() {
        while (mPosition < mText.length()) {
            char next = mText.charAt(mPosition);
            if (next == '"') {
                copyTo(endOfString());
            } else if (isOpening(next)) {
                open();
            } else if (isNumber(next)) {
                copyNumber();
            } else {
                mDepth -= isClosing(next) ? 1 : 0;
                copyTo(mPosition + 1);
            }
        }
        return mResult.toString();
    }

    private static boolean isOpening(char character) {
        return character == '{' || character == '[';
    }

    private static boolean isClosing(char character) {
        return character == '}' || character == ']';
    }

    private static boolean isNumber(char character) {
        return (character >= '0' && character <= '9') || character == '-';
    }

    private static boolean isPartOfNumber(char character) {
        return isNumber(character)
                || character == '+'
                || character == '.'
                || character == 'e'
                || character == 'E';
    }

    private void copyTo(int end) {
        mResult.append(mText, mPosition, end);
        mPosition = end;
    }

    private void open() {
        if (mDepth < mMaxDepth) {
            mDepth++;
            copyTo(mPosition + 1);
            return;
        }
        mResult.append(NULL);
        skipNested();
    }

    /** Skips the object or list that starts at the position. */
    private void skipNested() {
        int depth = 0;
        do {
            char next = mText.charAt(mPosition);
            depth += isOpening(next) ? 1 : 0;
            depth -= isClosing(next) ? 1 : 0;
            mPosition = next == '"' ? endOfString() : mPosition + 1;
        } while (depth > 0 && mPosition < mText.length());
    }

    private void copyNumber() {
        int end = mPosition + 1;
        while (end < mText.length() && isPartOfNumber(mText.charAt(end))) {
            end++;
        }
        if (end - mPosition <= mMaxNumberLength) {
            copyTo(end);
            return;
        }
        mResult.append(NULL);
        mPosition = end;
    }

    /** Returns the position after the string that starts at the position. */
    private int endOfString() {
        int end = mPosition + 1;
        while (end < mText.length() && mText.charAt(end) != '"') {
            end += mText.charAt(end) == '\\' ? 2 : 1;
        }
        return Math.min(end + 1, mText.length());
    }
}
