package org.plantainferry.verification.standin.group;

import java.util.Optional;

/** Is one statement of the stand-in: {@code GET}, {@code PUT}, {@code ADD}, {@code APPEND}... */
record Statement(Verb verb, String key, String argument, String text) {
    enum Verb {
        GET,
        PUT,
        ADD,
        APPEND,
        SLEEP
    }

    /** Reads and writes the values that a statement works on. */
    interface KeyValueStore {
        Optional<String> get(String key);

        void put(String key, String value);
    }

    /** Reports a text that is not a statement, or cannot run on the present value. */
    static final class BadStatementException extends Exception {
        private static final long serialVersionUID = 1L;

        BadStatementException(String message) {
            super(message);
        }
    }

    private static final long MAX_SLEEP_MILLIS = 60_000;

    static Statement parse(String text) throws BadStatementException {
        String[] words = text.split(" ", 3);
        for (Verb verb : Verb.values()) {
            if (verb.name().equals(words[0])) {
                boolean isUnary = verb == Verb.GET || verb == Verb.SLEEP;
                if (words.length != (isUnary ? 2 : 3) || words[1].isEmpty()) {
                    throw new BadStatementException("wrong number of operands: " + text);
                }
                Statement statement = new Statement(verb, words[1], isUnary ? "" : words[2], text);
                statement.checkOperands();
                return statement;
            }
        }
        throw new BadStatementException("unknown statement: " + text);
    }

    boolean isRead() {
        return verb == Verb.GET || verb == Verb.SLEEP;
    }

    long sleepMillis() {
        return verb == Verb.SLEEP ? Long.parseLong(key) : 0;
    }

    /** Runs the statement; empty when the value read is absent. */
    Optional<String> execute(KeyValueStore values) throws BadStatementException {
        Optional<String> present = values.get(key);
        switch (verb) {
            case GET:
                return present;
            case PUT:
                values.put(key, argument);
                return Optional.of("OK");
            case ADD:
                return store(
                        values,
                        Long.toString(
                                parseNumber(present.orElse("0"), "value")
                                        + parseNumber(argument, "")));
            case APPEND:
                return store(values, present.orElse("") + argument);
            case SLEEP:
                return Optional.of("OK");
            default:
                throw new BadStatementException("unknown statement: " + text);
        }
    }

    private Optional<String> store(KeyValueStore values, String value) {
        values.put(key, value);
        return Optional.of(value);
    }

    private void checkOperands() throws BadStatementException {
        if (verb == Verb.ADD) {
            parseNumber(argument, "operand");
        } else if (verb == Verb.SLEEP) {
            long millis = parseNumber(key, "operand");
            if (millis < 0 || millis > MAX_SLEEP_MILLIS) {
                throw new BadStatementException("operand must be in 0.." + MAX_SLEEP_MILLIS);
            }
        }
    }

    private static long parseNumber(String text, String what) throws BadStatementException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new BadStatementException(what + " is not a number: " + text);
        }
    }
}
