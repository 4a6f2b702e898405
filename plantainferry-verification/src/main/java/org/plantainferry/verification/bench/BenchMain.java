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
 * Runs a benchmark from the command line and writes its results to a file.
 *
 * @since 0.1
 */
public final class BenchMain {
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /** Runs the measurement named by the first argument; exits with status 2 on wrong usage. */
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
        // Daemon threads let the process exit after a failed measurement.
        EventLoopGroup eventLoops =
                new MultiThreadIoEventLoopGroup(
                        0, new DefaultThreadFactory("bench", true), NioIoHandler.newFactory());
        String command = "./bench " + String.join(" ", arguments);
        try (ResultWriter results = new ResultWriter(options.resultFile(), command)) {
            run(options, eventLoops, results);
        }
        System.exit(0);
    }

    private static void run(BenchOptions options, EventLoopGroup eventLoops, ResultWriter results)
            throws IOException, InterruptedException {
        switch (options.measurement()) {
            case "speed":
                new SpeedBench(eventLoops, results, options.seconds(), options.seed()).run();
                break;
            case "slopes":
                new SlopesBench(eventLoops, results, options.seconds(), options.seed()).run();
                break;
            case "engine":
                new EngineBench(results).run();
                break;
            case "replicas":
            case "policy":
                new PolicyBench(
                                eventLoops,
                                results,
                                options.seconds(),
                                options.seed(),
                                options.primaryStops(),
                                options.measurement().equals("replicas"))
                        .run();
                break;
            default:
                throw new IllegalArgumentException("unknown measurement: " + options.measurement());
        }
    }
}
