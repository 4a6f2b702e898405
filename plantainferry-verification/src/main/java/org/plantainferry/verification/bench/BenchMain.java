package org.plantainferry.verification.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import org.plantainferry.verification.standin.StandInLogging;

/**
 * Runs a measurement from the command line and writes its figures to a file.
 *
 * @since 0.1
 */
public final class BenchMain {
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /** Runs the measurement that the first argument names. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        StandInLogging.logWarningsOnly();
        BenchOptions options = new BenchOptions();
        JCommander commander =
                JCommander.newBuilder().programName("bench").addObject(options).build();
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("bench: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (options.isHelp()) {
            commander.usage();
            return;
        }
        // Daemon threads: a failed measurement must not leave the process waiting for them.
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        0, new DefaultThreadFactory("bench", true), NioIoHandler.newFactory());
        String command = "./bench " + String.join(" ", arguments);
        try (ResultWriter results = new ResultWriter(options.resultFile(), command)) {
            run(options, group, results);
        }
        System.exit(0);
    }

    private static void run(BenchOptions options, EventLoopGroup group, ResultWriter results)
            throws IOException, InterruptedException {
        switch (options.measurement()) {
            case "speed":
                new SpeedBench(group, results, options.seconds(), options.seed()).run();
                break;
            case "slopes":
                new SlopesBench(group, results, options.seconds(), options.seed()).run();
                break;
            case "engine":
                new EngineBench(results).run();
                break;
            case "replicas":
            case "policy":
                new PolicyBench(
                                group,
                                results,
                                options.seconds(),
                                options.seed(),
                                options.primaryStops(),
                                options.measurement().equals("replicas"))
                        .run();
                break;
            default:
                throw new IllegalArgumentException("no such measurement: " + options.measurement());
        }
    }
}
