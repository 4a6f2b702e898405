package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainferry.platform.standin.StandInDocuments;

/**
 * Many tenants send a little at each gateway, and one of them sends many times its usual for some
 * seconds. Counts its requests that were sent and run in each window, as the rule QUOTA does.
 */
final class ManyTenantsCase {
    private static final int GATEWAYS = 4;
    private static final int TENANTS = 78;
    private static final int RATE = 40;
    private static final int BURST = 40;
    // The usual demand of a tenant is its rate divided by 1.6; the hot tenant sends 7.5 times that.
    private static final double USUAL_PER_SECOND = RATE / 1.6;
    private static final double HOT_FACTOR = 7.5;
    private static final int HOT_MILLIS = 6_500;
    private static final int SESSIONS = 40;
    private static final double WINDOW_SECONDS = 5;
    private static final double ALLOWED = (RATE * WINDOW_SECONDS + BURST) * 1.1 + 20;

    private static volatile double sHotPerSecond = USUAL_PER_SECOND;
    private static volatile boolean sEnded;
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();

    private record Run(double sent, double answered) {}

    private static final List<Run> HOT_RUNS = new ArrayList<>();

    public static void main(String[] arguments) throws Exception {
        Setup setup = new Setup(arguments[0], true, 40, 4);
        setup.startServers("a", "b", "a");
        // NAMES=short: the same with names of three letters.
        boolean isShort = "short".equals(System.getenv("NAMES"));
        String pattern = isShort ? "t%02d" : "workshop-lario-como-%02d";
        writeConfiguration(setup, pattern);
        List<Gateway> gateways = new ArrayList<>();
        for (int index = 0; index < GATEWAYS; index++) {
            String zone = index % 2 == 0 ? "a" : "b";
            Gateway gateway = setup.gateway("front-" + zone + "-" + (index / 2 + 1), zone);
            gateway.start();
            gateways.add(gateway);
        }
        for (Gateway gateway : gateways) {
            if (!gateway.awaitReady(15_000)) {
                setup.exit(2, gateway.name + " did not become ready");
            }
        }
        List<Thread> threads = new ArrayList<>();
        for (Gateway gateway : gateways) {
            for (int part = 0; part < 6; part++) {
                int first = part;
                threads.add(new Thread(() -> callAsMany(setup, gateway, pattern, first)));
            }
        }
        for (int index = 0; index < SESSIONS; index++) {
            Gateway gateway = gateways.get(index % GATEWAYS);
            threads.add(new Thread(() -> callAsHotTenant(setup, gateway)));
        }
        threads.forEach(Thread::start);
        Thread.sleep(20_000);
        if (setup.trouble) {
            setup.record.note("the tenant of key-0 sends " + HOT_FACTOR + " times its usual");
            sHotPerSecond = USUAL_PER_SECOND * HOT_FACTOR;
        }
        Thread.sleep(HOT_MILLIS);
        sHotPerSecond = USUAL_PER_SECOND;
        setup.record.note("the tenant of key-0 sends its usual again");
        Thread.sleep(2_000);
        sEnded = true;
        for (Thread thread : threads) {
            thread.join();
        }
        report(setup);
    }

    private static void report(Setup setup) {
        int most = 0;
        double at = 0;
        for (Run first : HOT_RUNS) {
            int count = 0;
            for (Run run : HOT_RUNS) {
                boolean isInside =
                        run.sent >= first.sent && run.answered <= first.sent + WINDOW_SECONDS;
                count += isInside ? 1 : 0;
            }
            if (count > most) {
                most = count;
                at = first.sent;
            }
        }
        String text =
                String.format(
                        Locale.ROOT,
                        "%d requests of one tenant sent and answered in 5 s from %.3f, %.0f allowed;"
                                + " %d served and %d refused in all",
                        most, at, ALLOWED, SERVED.get(), REFUSED.get());
        setup.exit(HOT_RUNS.isEmpty() ? 2 : most > ALLOWED ? 1 : 0, text);
    }

    private static void writeConfiguration(Setup setup, String pattern) {
        StringBuilder tenants = new StringBuilder();
        for (int index = 0; index < TENANTS; index++) {
            tenants.append(index == 0 ? "" : ",")
                    .append("{'Name':'")
                    .append(pattern.formatted(index))
                    .append("','ApiKeys':['key-")
                    .append(index)
                    .append("'],'RatePerS':" + RATE + ",'Burst':" + BURST + "}");
        }
        String text =
                "{'Version':1,'Routes':["
                        + StandInDocuments.routeJson(
                                Setup.BOUNDED, "bounded_staleness", "svc", 3_000)
                        + "],'Services':[{'Name':'svc','MaxConns':400,'SyncReplicas':0}],"
                        + "'Limits':{'TxIdleMs':3000},'Tenants':["
                        + tenants
                        + "]}";
        setup.store.put("config", "main", StandInDocuments.parseJson(text));
    }

    /** Sends an operation for each of some tenants in turn, over a new session each. */
    private static void callAsMany(Setup setup, Gateway gateway, String pattern, int first) {
        while (!sEnded) {
            for (int tenant = first; tenant < TENANTS && !sEnded; tenant += 6) {
                if (tenant == 0) {
                    continue;
                }
                try (Caller caller =
                        new Caller(setup.record, "c", gateway.host, gateway.port, 4_000)) {
                    if (caller.open(Setup.BOUNDED, "key-" + tenant)) {
                        caller.ask("READ item" + tenant);
                    }
                    Thread.sleep(150);
                } catch (IOException | InterruptedException e) {
                    setup.record.line("a caller ends: " + e);
                }
            }
        }
    }

    private static void callAsHotTenant(Setup setup, Gateway gateway) {
        Random random = new Random();
        while (!sEnded) {
            try (Caller caller =
                    new Caller(setup.record, "hot", gateway.host, gateway.port, 4_000)) {
                if (!caller.open(Setup.BOUNDED, "key-0")) {
                    continue;
                }
                while (!sEnded) {
                    double sent = setup.record.seconds();
                    Caller.Answer answer = caller.ask("READ item" + random.nextInt(50));
                    if (answer.isDone()) {
                        SERVED.incrementAndGet();
                        synchronized (HOT_RUNS) {
                            HOT_RUNS.add(new Run(sent, setup.record.seconds()));
                        }
                    } else {
                        REFUSED.incrementAndGet();
                    }
                    if (!answer.isWhole()) {
                        break;
                    }
                    double pauseMillis = 1_000 * SESSIONS / sHotPerSecond;
                    Thread.sleep((long) (pauseMillis * (0.5 + random.nextDouble())));
                }
            } catch (IOException | InterruptedException e) {
                setup.record.line("a hot caller ends: " + e);
            }
        }
    }
}
