package org.plantainferry.gateway.statement;

/**
 * Describes one statement of a caller.
 *
 * <p>Arguments are kept as they came, because servers must see them unchanged.
 *
 * @since 0.2
 */
public sealed interface Statement {
    /** Begins a transaction. */
    record Begin(boolean readOnly) implements Statement {}

    /** Commits the transaction. */
    record Commit() implements Statement {}

    /** Rolls the transaction back. */
    record Rollback() implements Statement {}

    /** Reads an item. */
    record Read(String arguments) implements Statement {}

    /** Writes an item. */
    record Write(String arguments) implements Statement {}

    /** Sets a session value. */
    record SetValue(String name, String value) implements Statement {}

    /** Prepares a statement under a name. */
    record Prepare(String name, boolean writes, String text) implements Statement {}

    /** Runs a prepared statement. */
    record Execute(String name, String arguments) implements Statement {}

    /** Forgets a prepared statement. */
    record Release(String name) implements Statement {}

    /** Drops values and prepared statements of a server connection; never sent by callers. */
    record Reset() implements Statement {}

    /** Asks a server for its state; never sent by callers. */
    record Status() implements Statement {}

    /** Makes the primary of an older term a replica; never sent by callers. */
    record StepDown(long term) implements Statement {}

    /** Stands for a text that is not understood. */
    record Unreadable() implements Statement {}
}
