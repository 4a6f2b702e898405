package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters look things up on a route of bounded staleness, at a fixed rate. The primary loses a
 * part of its answers for some seconds, several times. Compares the requests that are refused or
 * fail with those that are owed, as the gate does.
 */
final class LostSampleCase {
    private static final int LOSSES = 6;
    private static final int LOSS_MILLIS = 4_000;
    private static final int LOSS_GAP_MILLIS = 1_000;
    private static final double LOST_SHARE = 0.2;
    private static final int BEFORE_MILLIS = 4_000;
    private static final int AFTER_MILLIS = 55_000;
    private static final int INTERVAL_MILLIS = 50;
    private static final int TIME_LIMIT_MILLIS = 5_000;
    private static final int ATTEMPTS = 3;
    private static final double MOST_UNSERVED_SHARE = 0.6;

    private static final AtomicInteger ASKED = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger ASKED_AFTER = new AtomicInteger();
    private static final AtomicInteger SERVED_AFTER = new AtomicInteger();
    private static volatile boolean sAfter;

    public static void main(String[] arguments) throws Exception {
        Setup setup = new Setup(arguments[0], true, 5, 20);
        setup.startServers("a", "b", "c");
        setup.writeConfiguration(1, 69, 500);
        List<Gateway> gateways =
                List.of(setup.gateway("front-a-1", "a"), setup.gateway("front-b-1", "b"));
        for (Gateway gateway : gateways) {
            gateway.start();
        }
        for (Gateway gateway : gateways) {
            if (!gateway.awaitReady(15_000)) {
                setup.exit(2, gateway.name + " did not become ready");
            }
        }
        ExecutorService callers = Executors.newCachedThreadPool();
        long startNanos = System.nanoTime();
        long lossNanos =
                TimeUnit.MILLISECONDS.toNanos((long) LOSSES * (LOSS_MILLIS + LOSS_GAP_MILLIS));
        Thread losses = new Thread(() -> loseAnswers(setup));
        losses.start();
        long endNanos = startNanos + ms(BEFORE_MILLIS) + lossNanos + ms(AFTER_MILLIS);
        while (System.nanoTime() < endNanos) {
            callers.execute(() -> lookUp(setup, gateways));
            Thread.sleep(INTERVAL_MILLIS);
        }
        callers.shutdown();
        callers.awaitTermination(TIME_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        losses.join();
        double unserved = 1 - SERVED.get() / (double) Math.max(1, ASKED.get());
        String text =
                "%d of %d served, %.2f refused or failed; after the last loss %d of %d served"
                        .formatted(
                                SERVED.get(), ASKED.get(), unserved, SERVED_AFTER.get(),
                                ASKED_AFTER.get());
        setup.exit(SERVED.get() == 0 ? 2 : unserved > MOST_UNSERVED_SHARE ? 1 : 0, text);
    }

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static void loseAnswers(Setup setup) {
        Random random = new Random();
        try {
            Thread.sleep(BEFORE_MILLIS);
            for (int loss = 0; loss < LOSSES; loss++) {
                String primary = setup.group.primary();
                if (setup.trouble) {
                    setup.record.note("primary " + primary + " begins to lose answers");
                    setup.group.answerLoss =
                            (server, id, text) ->
                                    server.equals(primary) && random.nextDouble() < LOST_SHARE;
                }
                Thread.sleep(LOSS_MILLIS);
                setup.group.answerLoss = (server, id, text) -> false;
                Thread.sleep(LOSS_GAP_MILLIS);
            }
            setup.record.note("no answer is lost from now on");
            sAfter = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs one operation with retries at other gateways, inside its time limit. */
    private static void lookUp(Setup setup, List<Gateway> gateways) {
        boolean isAfter = sAfter;
        ASKED.incrementAndGet();
        if (isAfter) {
            ASKED_AFTER.incrementAndGet();
        }
        Random random = new Random();
        int first = random.nextInt(gateways.size());
        long endNanos = System.nanoTime() + ms(TIME_LIMIT_MILLIS);
        for (int attempt = 0; attempt < ATTEMPTS && System.nanoTime() < endNanos; attempt++) {
            Gateway gateway = gateways.get((first + attempt) % gateways.size());
            int leftMillis = (int) Math.max(1, (endNanos - System.nanoTime()) / 1_000_000);
            if (isServed(setup, gateway, leftMillis, random)) {
                SERVED.incrementAndGet();
                if (isAfter) {
                    SERVED_AFTER.incrementAndGet();
                }
                return;
            }
        }
    }

    private static boolean isServed(
            Setup setup, Gateway gateway, int leftMillis, Random random) {
        try (Caller caller =
                new Caller(setup.record, gateway.name, gateway.host, gateway.port, leftMillis)) {
            return caller.open(Setup.BOUNDED, Setup.KEY)
                    && caller.ask("READ item" + random.nextInt(50)).isDone();
        } catch (IOException e) {
            setup.record.line("a requester fails: " + e);
            return false;
        }
    }
}
