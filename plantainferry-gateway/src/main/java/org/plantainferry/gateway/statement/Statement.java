package org.plantainferry.gateway.statement;

/**
 * Describes one statement of a caller.
 *
 * <p>Arguments are kept verbatim, because servers must receive them unchanged.
 *
 * @since 0.2
 */
public sealed interface Statement {
    /** Begins a transaction. */
    record Begin(boolean readOnly) implements Statement {}

    /** Commits the transaction. */
    record Commit() implements Statement {}

    /** Rolls back the transaction. */
    record Rollback() implements Statement {}

    /** Reads an item. */
    record Read(String arguments) implements Statement {}

    /** Writes an item. */
    record Write(String arguments) implements Statement {}

    /** Sets a session value. */
    record SetValue(String name, String value) implements Statement {}

    /** Prepares a statement under a name. */
    record Prepare(String name, boolean writes, String text) implements Statement {}

    /**
     * Runs a prepared statement.
     *
     * @param writes whether it is known to change data, which the text does not say
     */
    record Execute(String name, String arguments, boolean writes) implements Statement {}

    /** Deallocates a prepared statement. */
    record Release(String name) implements Statement {}

    /**
     * Discards the session values and prepared statements of a server connection; never sent by
     * callers.
     */
    record Reset() implements Statement {}

    /** Asks a server for its state; never sent by callers. */
    record Status() implements Statement {}

    /** Demotes the primary of an older term to a replica; never sent by callers. */
    record StepDown(long term) implements Statement {}

    /** Represents a text that cannot be parsed. */
    record Unreadable() implements Statement {}
}
