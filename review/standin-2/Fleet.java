import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts gateways with the command of the deploy file, and settings from its template.
 *
 * <p>Each gateway has a loopback address of its own. The bounds are those of a small deployment.
 */
final class Fleet implements AutoCloseable {
    private static final String SETTINGS_PATH = "/etc/plantainferry/boot.yaml";

    /** Represents one gateway. */
    final class Gateway {
        final String mName;
        final String mZone;
        private final String mHost;
        private final Path mSettings;
        private final Path mLog;
        private Process mProcess;

        Gateway(String name, String zone, String host) {
            mName = name;
            mZone = zone;
            mHost = host;
            mSettings = mDirectory.resolve(name + ".json");
            mLog = mDirectory.resolve(name + ".log");
        }

        String front() {
            return mHost + ":" + mFrontPort;
        }

        Gateway start() throws IOException {
            Files.writeString(mSettings, settings(this));
            List<String> command = new ArrayList<>();
            for (String word : mCommand.split(" ")) {
                command.add(word.equals(SETTINGS_PATH) ? mSettings.toString() : word);
            }
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("PLANTAINFERRY_BOOT", mSettings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            mProcess = builder.start();
            mRecord.line(mName, "process starts");
            return this;
        }

        boolean isReady() {
            try {
                URL url = new URL("http://" + mHost + ":" + mReadyPort + "/health/ready");
                HttpURLConnection connection = (HttpURLConnection) url.openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(500);
                return connection.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Waits for the ready probe; returns whether it answered in time. */
        boolean awaitReady() {
            for (int poll = 0; poll < 150; poll++) {
                if (isReady()) {
                    mRecord.line(mName, "is ready");
                    return true;
                }
                Group.sleep(100);
            }
            return false;
        }

        void kill() throws InterruptedException {
            mRecord.line(mName, "SIGKILL");
            mProcess.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }

        void terminate() {
            mRecord.line(mName, "SIGTERM");
            mProcess.destroy();
        }

        boolean isAlive() {
            return mProcess != null && mProcess.isAlive();
        }

        Path log() {
            return mLog;
        }
    }

    private final Record mRecord;
    private final Path mDirectory;
    private final String mCommand;
    private final String mTemplate;
    private final String mStore;
    private final String mCloud;
    private final boolean mFencing;
    private final int mFrontPort;
    private final int mReadyPort;
    private final int mPeerPort;
    private final List<Gateway> mGateways = new ArrayList<>();

    Fleet(Record record, Store store, Cloud cloud, boolean fencing) throws IOException {
        mRecord = record;
        mDirectory = Files.createTempDirectory("review-case");
        mStore = store.address();
        mCloud = cloud.address();
        mFencing = fencing;
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml names no command");
        }
        mCommand = run.group(1);
        mTemplate = Files.readString(Path.of("platform/settings.json.template"));
        mFrontPort = freePort();
        mReadyPort = freePort();
        mPeerPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static String host(int number) {
        return "127.0.0." + (20 + number);
    }

    /** Returns a port that is free on the addresses of all gateways. */
    private static int freePort() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = 20_000 + random.nextInt(10_000);
            boolean isFree = true;
            for (int number = 1; number <= 8 && isFree; number++) {
                InetAddress address = InetAddress.getByName(host(number));
                try (ServerSocket stream = new ServerSocket(port, 1, address);
                        DatagramSocket datagrams = new DatagramSocket(new InetSocketAddress(address, port))) {
                    isFree = stream.isBound() && datagrams.isBound();
                } catch (IOException e) {
                    isFree = false;
                }
            }
            if (isFree) {
                return port;
            }
        }
        throw new IOException("no free port");
    }

    /** Returns the address of the gateway that is added next. */
    String nextHost() {
        return host(mGateways.size() + 1);
    }

    Gateway add(String name, String zone) throws IOException {
        Gateway gateway = new Gateway(name, zone, host(mGateways.size() + 1));
        mGateways.add(gateway);
        return gateway.start();
    }

    boolean awaitReady() {
        return mGateways.stream().allMatch(Gateway::awaitReady);
    }

    /** Fills in the template of the deploy file. */
    private String settings(Gateway gateway) {
        Map<String, String> values = new TreeMap<>();
        values.put("Node", gateway.mName);
        values.put("Zone", gateway.mZone);
        values.put("Ip", gateway.mHost);
        values.put("Listen.Front", gateway.front());
        values.put("Listen.Ready", gateway.mHost + ":" + mReadyPort);
        values.put("InternalPorts.0", Integer.toString(mPeerPort));
        values.put("platform.Addr", mStore);
        values.put("Cloud.Addr", mCloud);
        values.put("Bounds.GraceS", "6");
        values.put("Bounds.DrainMs", "7000");
        values.put("Bounds.ConfigApplyMs", "3000");
        values.put("Bounds.RevokeMs", "5000");
        values.put("Bounds.QuotaWindowS", "5");
        values.put("Bounds.QuotaExcess", "0.1");
        values.put("Bounds.QuotaSlack", "20");
        values.put("Bounds.Fencing", mFencing ? "true" : "false");
        values.put("Limits.MemoryMb", "352");
        values.put("Limits.MaxFds", "2167");
        String text = mTemplate;
        Matcher section = Pattern.compile("(?s)\\{\\{([#^])([A-Za-z.]+)}}(.*?)\\{\\{/\\2}}").matcher(text);
        text =
                section.replaceAll(
                        found -> {
                            String value = values.getOrDefault(found.group(2), "false");
                            boolean isShown = value.equals("false") == found.group(1).equals("^");
                            return Matcher.quoteReplacement(isShown ? found.group(3) : "");
                        });
        Matcher placeholder = Pattern.compile("\\{\\{([A-Za-z0-9.]+)(\\|json)?}}").matcher(text);
        return placeholder.replaceAll(
                found -> {
                    String value = values.get(found.group(1));
                    boolean isJson = found.group(2) != null;
                    return Matcher.quoteReplacement(isJson ? Json.write(value) : value);
                });
    }

    @Override
    public void close() {
        for (Gateway gateway : mGateways) {
            if (gateway.mProcess != null) {
                gateway.mProcess.destroyForcibly();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            deleteLogs();
        } else {
            System.out.println("logs: " + mDirectory);
        }
    }

    private synchronized void deleteLogs() {
        if (!Files.exists(mDirectory)) {
            return;
        }
        try (var files = Files.walk(mDirectory)) {
            files.sorted((left, right) -> right.compareTo(left)).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.out.println("the temporary folder was not removed: " + e.getMessage());
        }
    }
}
