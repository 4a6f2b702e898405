package org.plantainferry.verification.scenario;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.verification.standin.FreePorts;

/** Controls one daemon process, which the runner starts and signals by its process id. */
final class DaemonProcess {
    private static final String HEAP_OPTION = "-Xmx160m";
    private static final long EXIT_SECONDS = 5;

    private final Process mProcess;
    private final InstanceRecord mInstanceRecord;
    private final String mPeerListenAddress;
    private final int mIncarnation;

    private DaemonProcess(
            Process process, InstanceRecord record, String peerAddress, int incarnation) {
        mProcess = process;
        mInstanceRecord = record;
        mPeerListenAddress = peerAddress;
        mIncarnation = incarnation;
    }

    /** Describes the instance to start. */
    record InstanceSpec(String name, String domain, String ip, int incarnation) {
        /** Returns the identifier of the instance; each restart has a new one. */
        String instanceId() {
            return incarnation == 1 ? name : name + "-" + incarnation;
        }
    }

    /**
     * Starts a process.
     *
     * @param relayAddress returns, for the peer address of the process, the address that other
     *     instances connect to
     * @throws UncheckedIOException when the process cannot be started
     */
    static DaemonProcess start(
            InstanceSpec spec,
            String store,
            Path directory,
            java.util.function.UnaryOperator<String> relayAddress) {
        String caller = FreePorts.allocateAddress(spec.ip());
        String peer = FreePorts.allocateAddress(spec.ip());
        String operator = FreePorts.allocateAddress(spec.ip());
        Map<String, Object> settings =
                Map.of(
                        "instance",
                        spec.instanceId(),
                        "failureDomain",
                        spec.domain(),
                        "localAddress",
                        spec.ip(),
                        "callerListener",
                        caller,
                        "peerListener",
                        peer,
                        "operatorListener",
                        operator,
                        "store",
                        store,
                        "sessionSecretFiles",
                        List.of("secret"),
                        "drainSeconds",
                        10);
        Path settingsFile = directory.resolve(spec.instanceId() + ".json");
        Path logFile = directory.resolve(spec.instanceId() + ".log");
        InstanceRecord record =
                new InstanceRecord(
                        new InstanceId(spec.instanceId()),
                        new FailureDomain(spec.domain()),
                        relayAddress.apply(peer),
                        caller,
                        operator,
                        "live");
        try {
            Files.writeString(settingsFile, Json.write(settings));
            Process process =
                    new ProcessBuilder(command(settingsFile))
                            .redirectErrorStream(true)
                            .redirectOutput(logFile.toFile())
                            .start();
            return new DaemonProcess(process, record, peer, spec.incarnation());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + spec.instanceId(), e);
        }
    }

    private static List<String> command(Path settings) {
        String target = "plantainferry-daemon" + File.separator + "target" + File.separator;
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                HEAP_OPTION,
                "-cp",
                target + "classes" + File.pathSeparator + target + "lib" + File.separator + "*",
                "org.plantainferry.daemon.PlantainferrydMain",
                "--settings",
                settings.toString());
    }

    InstanceRecord instanceRecord() {
        return mInstanceRecord;
    }

    /** Returns the address on which the process itself listens for peers, without the relay. */
    String peerListenAddress() {
        return mPeerListenAddress;
    }

    int incarnation() {
        return mIncarnation;
    }

    Process process() {
        return mProcess;
    }

    /** Sends a signal to the process if it is still alive. */
    void signal(String name) {
        if (!mProcess.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot send " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the process without a drain and waits at most {@link #EXIT_SECONDS} for its exit. */
    void kill() {
        mProcess.destroyForcibly();
        try {
            mProcess.waitFor(EXIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
