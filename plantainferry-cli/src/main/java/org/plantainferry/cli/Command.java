package org.plantainferry.cli;

/** Runs one command; its options are filled in before. */
interface Command {
    /**
     * Runs the command.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code ARGUMENT_INVALID} for a
     *     mistake in the arguments, before anything was changed
     */
    Outcome run(CommandContext context);

    /** Returns an example for the help text. */
    String example();
}
