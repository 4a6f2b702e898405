package org.plantainferry.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.Map;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;

/** Reads a command line, runs its command and writes the outcome. */
final class CommandLine {
    private static final String HELP_HINT = "see \"plantainferry --help\".";

    private final GlobalOptions mOptions = new GlobalOptions();
    private final Map<String, Command> mCommands = new LinkedHashMap<>();
    private final JCommander mParser;
    private final JCommander mKeyParser;

    CommandLine(SecureRandom random) {
        mParser = newParser("plantainferry");
        addCommand("apply", new ApplyCommand(mOptions));
        addCommand("status", new StatusCommand(mOptions));
        addCommand("wait", new WaitCommand(mOptions));
        mParser.addCommand("key", new KeyCommands(mOptions));
        mKeyParser = mParser.getCommands().get("key");
        addKeyCommand("give", new KeyGiveCommand(mOptions, random));
        addKeyCommand("withdraw", new KeyWithdrawCommand(mOptions, random));
        addCommand("history", new HistoryCommand(mOptions));
        addCommand("drain", new DrainCommand(mOptions));
        addCommand("check", new CheckCommand());
        addCommand("explain", new ExplainCommand());
    }

    /** Returns the exit code. */
    int run(
            String[] arguments,
            CommandContext.Environment environment,
            PrintStream out,
            PrintStream err) {
        Outcome outcome;
        try {
            mParser.parse(arguments);
            if (mOptions.isHelp()) {
                out.println(helpText());
                return ExitCode.DONE.number();
            }
            outcome = runCommand(environment, err);
        } catch (ParameterException e) {
            if (mOptions.isHelp()) {
                // "wait --help" lacks --version, but asks for nothing else than help.
                out.println(helpText());
                return ExitCode.DONE.number();
            }
            outcome = Outcome.badUsage(withPeriod(e.getMessage()), HELP_HINT);
        }
        new OutcomeWriter(out, err).write(outcome, mOptions.output());
        return outcome.exitCode().number();
    }

    private Outcome runCommand(CommandContext.Environment environment, PrintStream err) {
        String name = commandName();
        Command command = mCommands.get(name);
        if (command == null) {
            return Outcome.badUsage(
                    name.isEmpty() ? "A command is missing." : "A command of key is missing.",
                    HELP_HINT);
        }
        try {
            return command.run(new CommandContext(mOptions, environment, err::println));
        } catch (PlantainferryException e) {
            if (e.code() == ErrorCode.ARGUMENT_INVALID && e.verdict() == Verdict.NOT_RUN) {
                return Outcome.badUsage(withPeriod(e.getMessage()), HELP_HINT);
            }
            return internalError(e);
        } catch (RuntimeException e) {
            return internalError(e);
        }
    }

    // After a defect nothing is promised, so it never counts as "nothing was changed".
    private static Outcome internalError(RuntimeException error) {
        return Outcome.unknown(
                withPeriod("The program failed: " + error),
                "check with \"plantainferry history\" and report this to the developers.");
    }

    private String commandName() {
        String name = mParser.getParsedCommand();
        if (name == null) {
            return "";
        }
        String keyName = mKeyParser.getParsedCommand();
        return name.equals("key") && keyName != null ? "key " + keyName : name;
    }

    private String helpText() {
        Command command = mCommands.get(commandName());
        StringBuilder text = new StringBuilder();
        if (command == null) {
            appendAllCommands(text);
            return text.toString();
        }
        JCommander parser = mParser.getCommands().get(mParser.getParsedCommand());
        if (parser == mKeyParser) {
            parser = mKeyParser.getCommands().get(mKeyParser.getParsedCommand());
        }
        parser.getUsageFormatter().usage(text);
        return text.append("\n  Example:\n    ").append(command.example()).toString();
    }

    private void appendAllCommands(StringBuilder text) {
        text.append("Usage: plantainferry [--store HOST:PORT] [--instance HOST:PORT]")
                .append(" [--output human|json] COMMAND ...\n\n")
                .append("\"plantainferry COMMAND --help\" shows the options of a command.\n");
        mCommands.forEach(
                (name, command) ->
                        text.append("\n  " + name + ": " + description(name))
                                .append("\n    " + command.example()));
        text.append("\n\nExit codes:\n")
                .append("  0 done\n")
                .append("  1 refused, and nothing was changed\n")
                .append("  2 mistake in the command line or a file; nothing was changed\n")
                .append("  3 store or instance unavailable, and nothing was changed\n")
                .append("  4 it is not known whether the change was made");
    }

    private String description(String name) {
        String key = "key ";
        return name.startsWith(key)
                ? mKeyParser.getUsageFormatter().getCommandDescription(name.substring(key.length()))
                : mParser.getUsageFormatter().getCommandDescription(name);
    }

    private void addCommand(String name, Command command) {
        mParser.addCommand(name, command);
        mCommands.put(name, command);
    }

    private void addKeyCommand(String name, Command command) {
        mKeyParser.addCommand(name, command);
        mCommands.put("key " + name, command);
    }

    private JCommander newParser(String name) {
        return JCommander.newBuilder()
                .programName(name)
                .addObject(mOptions)
                // Files whose names begin with @ are names like any other.
                .expandAtSign(false)
                .build();
    }

    private static String withPeriod(String message) {
        String text = String.valueOf(message);
        return text.endsWith(".") ? text : text + ".";
    }
}
