package org.plantainferry.verification.scenario;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.plantainferry.verification.standin.StandInLogging;

/**
 * Runs a scenario file.
 *
 * <p>The exit status is 0 when every guarantee and expectation held, 1 when one did not or the run
 * failed, and 2 when the arguments are invalid or the file cannot be read or parsed.
 *
 * @since 0.1
 */
public final class ScenarioMain {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final Path RUNS_DIRECTORY =
            Path.of("plantainferry-verification", "target", "scenarios");

    @Parameter(description = "FILE")
    private List<String> mFiles = new ArrayList<>();

    @Parameter(names = "--seed", description = "Seed that replaces the one in the file")
    private Long mSeed;

    @Parameter(names = "--keep-logs", description = "Keep history and logs of a successful run")
    private boolean mKeepLogs;

    private ScenarioMain() {}

    /** Runs the scenario in the file that the arguments name. */
    public static void main(String[] arguments) {
        StandInLogging.logWarningsOnly();
        ScenarioMain main = new ScenarioMain();
        try {
            JCommander.newBuilder()
                    .programName("scenario")
                    .addObject(main)
                    .build()
                    .parse(arguments);
        } catch (ParameterException e) {
            System.err.println("scenario: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (main.mFiles.size() != 1) {
            System.err.println("usage: scenario FILE [--seed N] [--keep-logs]");
            System.exit(EXIT_USAGE);
        }
        System.exit(main.run(Path.of(main.mFiles.get(0))));
    }

    private int run(Path file) {
        Scenario scenario;
        try {
            scenario = ScenarioParser.parse(Files.readAllLines(file));
        } catch (ScenarioSyntaxException e) {
            System.err.println(file + ": " + e.getMessage());
            return EXIT_USAGE;
        } catch (IOException e) {
            System.err.println("scenario: cannot read " + file);
            return EXIT_USAGE;
        }
        if (mSeed != null) {
            scenario = scenario.withSeed(mSeed);
        }
        String name = file.getFileName().toString().replace(".scenario", "");
        Path directory =
                RUNS_DIRECTORY.resolve(
                        name + "-" + scenario.seed() + "-" + ProcessHandle.current().pid());
        return run(scenario, directory);
    }

    private int run(Scenario scenario, Path directory) {
        try {
            boolean isSuccessful = new ScenarioRunner(scenario, directory, System.out).run();
            if (isSuccessful && !mKeepLogs) {
                ScenarioRunner.deleteFiles(directory);
            } else {
                System.out.println("history and logs are in " + directory);
            }
            return isSuccessful ? 0 : EXIT_FAILED;
        } catch (IOException | IllegalStateException e) {
            System.err.println("scenario: the run failed: " + e);
            System.err.println("history and logs are in " + directory);
            return EXIT_FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILED;
        }
    }
}
