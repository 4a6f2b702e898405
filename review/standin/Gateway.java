package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.plantainferry.platform.standin.FreePorts;

/** Runs one gateway with the command of deploy/system.toml and settings as its template makes. */
final class Gateway {
    final String name;
    final String host;
    final int port;
    private final int mReadyPort;
    private final Path mSettings;
    private final Path mLog;
    private final Path mRoot;
    private Process mProcess;

    Gateway(
            Path directory,
            Path root,
            String name,
            String zone,
            String host,
            int peerPort,
            String store,
            String orders,
            boolean platformFences)
            throws IOException {
        this.name = name;
        this.host = host;
        mRoot = root;
        port = FreePorts.next(host);
        mReadyPort = FreePorts.next(host);
        mSettings = directory.resolve(name + ".json");
        mLog = directory.resolve(name + ".log");
        Files.writeString(
                mSettings,
                """
                {"instance": "%s", "failureDomain": "%s", "localAddress": "%s",
                 "callerListener": "%s:%d", "operatorListener": "%s:%d", "peerPort": %d,
                 "storeAddress": "%s", "ordersAddress": "%s", "drainMillis": 6000,
                 "serverDrainMillis": 7000, "platformFencesPrimaries": %s,
                 "configurationMillis": 3000, "keyWithdrawalMillis": 5000,
                 "rateWindowMillis": 5000, "rateExcess": 0.1, "rateSlack": 20}
                """
                        .formatted(
                                name, zone, host, host, port, host, mReadyPort, peerPort, store,
                                orders, platformFences));
    }

    /** Reads the words of the command from deploy/system.toml. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(mRoot.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                List<String> words = new ArrayList<>(List.of(text.split(" ")));
                words.replaceAll(
                        word ->
                                word.equals("/etc/plantainferry/boot.yaml")
                                        ? mSettings.toString()
                                        : word);
                return words;
            }
        }
        throw new IOException("no command in deploy/system.toml");
    }

    void start() throws IOException {
        mProcess =
                new ProcessBuilder(command())
                        .directory(mRoot.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()))
                        .start();
    }

    boolean isRunning() {
        return mProcess != null && mProcess.isAlive();
    }

    boolean isReady() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            new URL("http://" + host + ":" + mReadyPort + "/health/ready")
                                    .openConnection();
            connection.setConnectTimeout(400);
            connection.setReadTimeout(400);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    void terminate() {
        mProcess.destroy();
    }

    void kill() throws InterruptedException {
        if (mProcess != null) {
            mProcess.destroyForcibly().waitFor();
        }
    }

    /** Waits for the end of the process, and kills it when the time is over. */
    void awaitExit(long millis) throws InterruptedException {
        if (mProcess != null && !mProcess.waitFor(millis, TimeUnit.MILLISECONDS)) {
            kill();
        }
    }
}
