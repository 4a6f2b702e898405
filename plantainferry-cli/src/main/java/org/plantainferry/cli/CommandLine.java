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
        mParser = parser("plantainferry");
        add("apply", new ApplyCommand(mOptions));
        add("status", new StatusCommand(mOptions));
        add("wait", new WaitCommand(mOptions));
        mParser.addCommand("key", new KeyCommands(mOptions));
        mKeyParser = mParser.getCommands().get("key");
        addKey("give", new KeyGiveCommand(mOptions, random));
        addKey("withdraw", new KeyWithdrawCommand(mOptions, random));
        add("history", new HistoryCommand(mOptions));
        add("drain", new DrainCommand(mOptions));
        add("check", new CheckCommand());
        add("explain", new ExplainCommand());
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
                out.println(help());
                return ExitCode.DONE.number();
            }
            outcome = runCommand(environment, err);
        } catch (ParameterException e) {
            if (mOptions.isHelp()) {
                // "wait --help" lacks --version, but asks for nothing else than help.
                out.println(help());
                return ExitCode.DONE.number();
            }
            outcome = Outcome.badUsage(sentence(e.getMessage()), HELP_HINT);
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
                return Outcome.badUsage(sentence(e.getMessage()), HELP_HINT);
            }
            return defect(e);
        } catch (RuntimeException e) {
            return defect(e);
        }
    }

    // After a defect nothing is promised, so it never counts as "nothing was changed".
    private static Outcome defect(RuntimeException error) {
        return Outcome.unknown(
                sentence("The program failed: " + error),
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

    private String help() {
        Command command = mCommands.get(commandName());
        StringBuilder text = new StringBuilder();
        if (command == null) {
            describeAll(text);
            return text.toString();
        }
        JCommander parser = mParser.getCommands().get(mParser.getParsedCommand());
        if (parser == mKeyParser) {
            parser = mKeyParser.getCommands().get(mKeyParser.getParsedCommand());
        }
        parser.getUsageFormatter().usage(text);
        return text.append("\n  Example:\n    ").append(command.example()).toString();
    }

    private void describeAll(StringBuilder text) {
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

    private void add(String name, Command command) {
        mParser.addCommand(name, command);
        mCommands.put(name, command);
    }

    private void addKey(String name, Command command) {
        mKeyParser.addCommand(name, command);
        mCommands.put("key " + name, command);
    }

    private JCommander parser(String name) {
        return JCommander.newBuilder()
                .programName(name)
                .addObject(mOptions)
                // Files whose names begin with @ are names like any other.
                .expandAtSign(false)
                .build();
    }

    private static String sentence(String message) {
        String text = String.valueOf(message);
        return text.endsWith(".") ? text : text + ".";
    }
}
