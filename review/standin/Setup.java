package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.plantainferry.platform.standin.FreePorts;
import org.plantainferry.platform.standin.StandInDocuments;
import org.plantainferry.platform.standin.StoreStandIn;

/** The parts that all scripts share: directory, record, store, one group and its gateways. */
final class Setup implements AutoCloseable {
    private static final int BROKEN_STATUS = 10;
    private static final int NOT_RUN_STATUS = 2;

    static final String PRIMARY = "db-primary";
    static final String BOUNDED = "db-bounded";
    static final String SESSION = "db-session";
    static final String KEY = "key-1";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path directory;
    final Path root = Path.of("").toAbsolutePath();
    final Record record;
    final StoreStandIn store;
    final Group group;
    final List<Gateway> gateways = new CopyOnWriteArrayList<>();

    /** The generation numbers of the calls of POST /promote, in the order of their arrival. */
    final List<Long> orderTokens = new ArrayList<>();

    private final int mHostBlock = 20 + (int) (ProcessHandle.current().pid() % 200);
    private final int mPeerPort;
    private int mNextHost = 10;

    Setup(String recordFile, boolean platformFences, int slots, int workMillis) throws IOException {
        // Whatever ends the run, no gateway stays behind, and a failed run does not count.
        Runtime.getRuntime().addShutdownHook(new Thread(this::killGateways));
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> {
                    failure.printStackTrace();
                    System.exit(NOT_RUN_STATUS);
                });
        directory = Files.createTempDirectory("review");
        record = new Record(Path.of(recordFile));
        Group[] holder = new Group[1];
        store =
                new StoreStandIn(
                        (service, server, token) -> {
                            int status = holder[0].promote(server);
                            synchronized (orderTokens) {
                                orderTokens.add(token);
                            }
                            record.note("POST /promote " + server + " token " + token);
                            return status;
                        });
        group = new Group("svc", platformFences, store, record, slots, workMillis);
        holder[0] = group;
        mPeerPort = FreePorts.next("127." + mHostBlock + ".0.10");
    }

    private String host() {
        return "127." + mHostBlock + ".0." + mNextHost++;
    }

    void startServers(String... zones) throws IOException {
        int number = 1;
        for (String zone : zones) {
            group.start("i-" + number++, host(), zone);
        }
    }

    /** Writes a configuration with the routes, time limits and limits of a small deployment. */
    void writeConfiguration(long version, int maxConns, int rate) {
        String text =
                "{'Version':"
                        + version
                        + ",'Routes':["
                        + StandInDocuments.routeJson(PRIMARY, "primary", "svc", 1_000)
                        + ","
                        + StandInDocuments.routeJson(BOUNDED, "bounded_staleness", "svc", 3_000)
                        + ","
                        + StandInDocuments.routeJson(SESSION, "session", "svc", 1_000)
                        + "],'Services':[{'Name':'svc','MaxConns':"
                        + maxConns
                        + ",'SyncReplicas':0}],'Limits':{'TxIdleMs':3000},"
                        + "'Tenants':[{'Name':'tenant','ApiKeys':['"
                        + KEY
                        + "'],'RatePerS':"
                        + rate
                        + ",'Burst':"
                        + rate
                        + "}]}";
        store.put("config", "main", StandInDocuments.parseJson(text));
    }

    Gateway gateway(String name, String zone) throws IOException {
        return gateway(name, zone, store.address());
    }

    /** Creates a gateway whose calls of POST /promote go to an address of their own. */
    Gateway gateway(String name, String zone, String orders) throws IOException {
        Gateway gateway =
                new Gateway(
                        directory,
                        root,
                        name,
                        zone,
                        host(),
                        mPeerPort,
                        store.address(),
                        orders,
                        group.platformFences);
        gateways.add(gateway);
        return gateway;
    }

    /** Ends the run: status 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    void exit(int status, String text) {
        record.note((status == 0 ? "HELD: " : status == 1 ? "BROKEN: " : "NOT RUN: ") + text);
        close();
        // A failure of the Java runtime exits with 1, so run-case.sh expects another status here.
        System.exit(status == 1 ? BROKEN_STATUS : status);
    }

    private void killGateways() {
        for (Gateway gateway : List.copyOf(gateways)) {
            try {
                gateway.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        killGateways();
        record.close();
        if (System.getenv("KEEP") == null) {
            deleteDirectory();
        } else {
            System.out.println("logs in " + directory);
        }
    }

    private void deleteDirectory() {
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(directory);
        } catch (IOException e) {
            System.err.println("could not delete " + directory);
        }
    }
}
