package org.plantainferry.gateway;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.gateway.log.ConsoleLogging;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.settings.GatewaySettings;
import org.plantainferry.gateway.settings.GatewaySettingsReader;
import org.plantainferry.gateway.spi.PlatformAdapter;
import sun.misc.Signal;

/**
 * Parses the command line, then runs the gateway and its signal handlers.
 *
 * <p>The exit status is 0 after a drain, 2 for bad arguments or settings, 1 for any other failure.
 *
 * @since 0.2
 */
public final class GatewayMain {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;
    private static final String SETTINGS_OPTION = "--settings";
    private static final String NETTY_MACHINE_ID_PROPERTY = "io.netty.machineId";
    private static final String NETTY_MACHINE_ID = "02:00:00:00:00:01";

    @Parameter(
            names = SETTINGS_OPTION,
            required = true,
            description = "Settings file (JSON with comments)")
    private String mSettings;

    @Parameter(names = "--check", description = "Only check the settings")
    private boolean mCheckOnly;

    private final PlatformAdapter mAdapter;

    private GatewayMain(PlatformAdapter adapter) {
        mAdapter = adapter;
    }

    /**
     * Runs the gateway until it is asked to terminate, then exits the process.
     *
     * <p>The main class for each platform passes its adapter. Discovery on the class path would
     * open each library and delay the start.
     */
    public static void run(String[] arguments, PlatformAdapter adapter)
            throws InterruptedException {
        ConsoleLogging.install();
        NoManagementServer.install();
        // Channel ids need to be unique in this process only; finding a hardware address is slow.
        System.setProperty(NETTY_MACHINE_ID_PROPERTY, NETTY_MACHINE_ID);
        GatewayMain main = new GatewayMain(adapter);
        try {
            main.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("plantainferryd: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        int status = main.run();
        ConsoleLogging.flush();
        System.exit(status);
    }

    private void parse(String[] arguments) {
        // Services start with these two arguments only. For them, the command line parser would
        // take
        // a tenth of the start time.
        if (arguments.length == 2 && arguments[0].equals(SETTINGS_OPTION)) {
            mSettings = arguments[1];
            return;
        }
        JCommander.newBuilder()
                .programName("plantainferryd")
                .addObject(this)
                .build()
                .parse(arguments);
    }

    private int run() {
        try {
            GatewaySettings settings = GatewaySettingsReader.read(Path.of(mSettings));
            return mCheckOnly ? 0 : serve(settings);
        } catch (PlantainferryException e) {
            GatewayEvent.SETTINGS_INVALID.log(e.getMessage());
            return EXIT_USAGE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILURE;
        }
    }

    private int serve(GatewaySettings settings) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        Signal.handle(new Signal("TERM"), signal -> ended.countDown());
        Signal.handle(new Signal("HUP"), signal -> checkSettingsFile(settings));
        Gateway gateway = new Gateway(settings, mAdapter);
        if (gateway.start(ended)) {
            ended.await();
            gateway.drain();
        }
        return 0;
    }

    /** Validates the settings file; changed values take effect at the next start. */
    private void checkSettingsFile(GatewaySettings before) {
        try {
            GatewaySettings now = GatewaySettingsReader.read(Path.of(mSettings));
            GatewayEvent.RELOADED.log(!now.equals(before));
        } catch (PlantainferryException e) {
            GatewayEvent.SETTINGS_INVALID.log(e.getMessage());
        }
    }
}
