package org.plantainferry.verification.standin.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.json.Json;
import org.plantainferry.verification.standin.HttpEndpoint;
import org.plantainferry.verification.standin.StandInLogging;
import org.xnio.XnioWorker;

/**
 * Runs a relay as a process of its own.
 *
 * @since 0.1
 */
public final class TcpRelayMain {
    private static final int CONTROL_THREADS = 4;

    private TcpRelayMain() {}

    /** Starts the relay with the settings file that is the only argument. */
    public static void main(String[] arguments) throws IOException {
        if (arguments.length != 1) {
            System.err.println("usage: TcpRelayMain SETTINGS.json");
            System.exit(2);
        }
        StandInLogging.logWarningsOnly();
        RelaySettings settings =
                Json.readWithComments(
                        Files.readString(Path.of(arguments[0])),
                        RelaySettings.class,
                        ErrorCode.CONFIGURATION_INVALID);
        TcpRelay relay = new TcpRelay();
        for (RelaySettings.Route route : settings.routes()) {
            InetSocketAddress destination = HttpEndpoint.parseAddress(route.destination());
            relay.setDelayMillis(TcpRelay.hostPort(destination), route.delayMillis().orElse(0L));
            relay.addRoute(HttpEndpoint.parseAddress(route.listen()), destination);
        }
        XnioWorker worker = HttpEndpoint.createWorker(CONTROL_THREADS);
        HttpEndpoint control =
                new HttpEndpoint(
                        HttpEndpoint.parseAddress(settings.control()),
                        worker,
                        Integer.MAX_VALUE,
                        new RelayControl(relay));
        control.start();
        System.out.println("relay with control at " + control.address());
    }
}
