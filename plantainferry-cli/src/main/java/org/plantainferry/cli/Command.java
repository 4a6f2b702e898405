package org.plantainferry.cli;

/** Runs one command, whose options the parser has set. */
interface Command {
    /**
     * Runs the command and returns its outcome.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code ARGUMENT_INVALID} when an
     *     argument is invalid; nothing has been changed then
     */
    Outcome run(CommandContext context);

    /** Returns an example command line for the help text. */
    String example();
}
