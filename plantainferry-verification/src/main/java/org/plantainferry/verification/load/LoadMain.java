package org.plantainferry.verification.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.verification.standin.StandInLogging;

/**
 * Entry point of the load command, which generates load on instances.
 *
 * @since 0.1
 */
public final class LoadMain {
    private static final int EXIT_USAGE = 2;

    private LoadMain() {}

    /**
     * Runs the callers that the options describe and prints the report. Invalid options end the
     * process with exit code 2.
     */
    public static void main(String[] arguments) throws InterruptedException {
        StandInLogging.logWarningsOnly();
        LoadOptions options = new LoadOptions();
        JCommander commander =
                JCommander.newBuilder().programName("load").addObject(options).build();
        LoadPlan plan;
        try {
            commander.parse(arguments);
            if (options.isHelp()) {
                commander.usage();
                return;
            }
            plan = options.toPlan();
        } catch (ParameterException | PlantainferryException e) {
            System.err.println("load: " + e.getMessage());
            System.exit(EXIT_USAGE);
            return;
        }
        EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(NioIoHandler.newFactory());
        System.out.print(new LoadRunner(eventLoopGroup).run(plan).text());
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
