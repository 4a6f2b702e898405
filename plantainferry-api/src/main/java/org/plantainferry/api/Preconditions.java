package org.plantainferry.api;

import java.util.regex.Pattern;

/**
 * Checks arguments at the entry of public methods.
 *
 * @since 0.1
 */
public final class Preconditions {
    private static final int NAME_MAX_LENGTH = 64;
    private static final Pattern NAME_PATTERN =
            Pattern.compile("[a-z0-9](?:[a-z0-9._-]{0," + (NAME_MAX_LENGTH - 1) + "})");

    private Preconditions() {}

    /**
     * Returns the value when it is present.
     *
     * @throws PlantainferryException with {@link ErrorCode#ARGUMENT_INVALID} when it is null
     */
    public static <T> T notNull(T value, String parameter) {
        condition(value != null, parameter + " must not be null");
        return value;
    }

    /**
     * Returns a name of 1 to 64 lower-case letters, digits, dots, hyphens or underscores that
     * begins with a letter or a digit.
     *
     * @throws PlantainferryException with {@link ErrorCode#ARGUMENT_INVALID} for any other text
     */
    public static String validName(String value, String parameter) {
        notNull(value, parameter);
        condition(
                NAME_PATTERN.matcher(value).matches(),
                parameter
                        + " must match "
                        + NAME_PATTERN.pattern()
                        + ": \""
                        + truncated(value)
                        + "\"");
        return value;
    }

    /**
     * Checks a condition on arguments.
     *
     * @throws PlantainferryException with {@link ErrorCode#ARGUMENT_INVALID} when it is false
     */
    public static void condition(boolean satisfied, String message) {
        if (!satisfied) {
            throw new PlantainferryException(ErrorCode.ARGUMENT_INVALID, message);
        }
    }

    private static String truncated(String value) {
        if (value.length() <= NAME_MAX_LENGTH) {
            return value;
        }
        return value.substring(0, NAME_MAX_LENGTH) + "...";
    }
}
