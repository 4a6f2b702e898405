package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Replaces each gateway for good by one at another address, as planned work, one after the other.
 * Then the primary is lost for good, and all processes of the system are killed and start again.
 * Measures the share of operations that are served, as the rule RECOVER does.
 */
final class ReplacedFleetCase {
    private static final int CALLERS = 9;
    private static final int RECOVER_MILLIS = 12_000;
    private static final int MEASURED_MILLIS = 12_000;

    /** Counts operations of one phase. */
    private static final class Count {
        private final AtomicInteger mAsked = new AtomicInteger();
        private final AtomicInteger mServed = new AtomicInteger();

        double share() {
            return mServed.get() / (double) Math.max(1, mAsked.get());
        }

        @Override
        public String toString() {
            return "%d of %d served".formatted(mServed.get(), mAsked.get());
        }
    }

    private static final AtomicReference<Count> COUNT = new AtomicReference<>(new Count());
    private static volatile boolean sEnded;

    public static void main(String[] arguments) throws Exception {
        // TROUBLE=loss: the primary is lost and all processes are killed, but nothing is replaced.
        // TROUBLE=few: instead of being replaced, two of the three gateways are lost for good.
        String trouble = String.valueOf(System.getenv("TROUBLE"));
        boolean replaces = !List.of("0", "loss", "few").contains(trouble);
        Setup setup = new Setup(arguments[0], false, 5, 20);
        setup.startServers("a", "b", "c");
        setup.writeConfiguration(1, 69, 500);
        List<Gateway> serving = new ArrayList<>();
        for (String zone : List.of("a", "b", "c")) {
            Gateway gateway = setup.gateway("front-" + zone + "-1", zone);
            gateway.start();
            serving.add(gateway);
        }
        awaitReady(setup, serving);
        List<Thread> callers = startCallers(setup, serving);
        Thread.sleep(4_000);
        if (replaces) {
            replaceAll(setup, serving);
        } else if (trouble.equals("few")) {
            loseAllButOne(setup, serving);
        } else {
            Thread.sleep(15_000);
        }
        Count before = COUNT.get();
        setup.record.note("before the final fault: " + before);
        if (setup.trouble) {
            String primary = setup.group.primary();
            setup.record.note("primary " + primary + " is lost for good");
            setup.group.server(primary).crash();
            Thread.sleep(500);
            setup.record.note("all processes of the system are killed");
            for (Gateway gateway : serving) {
                gateway.kill();
            }
            Thread.sleep(1_000);
            for (Gateway gateway : serving) {
                gateway.start();
            }
            setup.record.note("all processes are started again");
            // Three ping intervals of 1.2 s after the last ping.
            Thread.sleep(2_400);
            setup.group.server(primary).expire();
            setup.record.line("the entry of " + primary + " is removed");
            Thread.sleep(RECOVER_MILLIS - 2_400);
        }
        COUNT.set(new Count());
        Thread.sleep(MEASURED_MILLIS);
        Count after = COUNT.get();
        sEnded = true;
        for (Thread caller : callers) {
            caller.join();
        }
        setup.record.note("later than RecoverS: " + after);
        if (before.share() < 0.25) {
            setup.exit(2, "less than a quarter was served before the final fault");
        }
        setup.exit(after.share() < 0.25 ? 1 : 0, "share served %.2f".formatted(after.share()));
    }

    private static void awaitReady(Setup setup, List<Gateway> gateways)
            throws InterruptedException {
        for (Gateway gateway : gateways) {
            if (!gateway.awaitReady(15_000)) {
                setup.exit(2, gateway.name + " did not become ready");
            }
        }
    }

    /** Starts the new machine first; then the old one gets SIGTERM and leaves for good. */
    private static void replaceAll(Setup setup, List<Gateway> serving)
            throws IOException, InterruptedException {
        for (int index = 0; index < serving.size(); index++) {
            Gateway old = serving.get(index);
            String zone = old.name.split("-")[1];
            Gateway next = setup.gateway("front-" + zone + "-2", zone);
            next.start();
            awaitReady(setup, List.of(next));
            synchronized (serving) {
                serving.set(index, next);
            }
            setup.record.note(next.name + " is ready, SIGTERM to " + old.name);
            old.terminate();
            old.awaitExit(6_000);
        }
    }

    private static void loseAllButOne(Setup setup, List<Gateway> serving)
            throws InterruptedException {
        while (serving.size() > 1) {
            Gateway lost;
            synchronized (serving) {
                lost = serving.remove(0);
            }
            setup.record.note(lost.name + " is lost for good");
            lost.kill();
            Thread.sleep(3_000);
        }
    }

    private static List<Thread> startCallers(Setup setup, List<Gateway> serving) {
        List<Thread> callers = new ArrayList<>();
        for (int index = 0; index < CALLERS; index++) {
            int number = index;
            Thread thread = new Thread(() -> call(setup, serving, number));
            thread.start();
            callers.add(thread);
        }
        return callers;
    }

    /** Runs operations of all kinds; after a failure it connects to another gateway. */
    private static void call(Setup setup, List<Gateway> serving, int number) {
        Random random = new Random(number);
        String database =
                List.of(Setup.PRIMARY, Setup.BOUNDED, Setup.SESSION).get(number % 3);
        while (!sEnded) {
            Gateway gateway;
            synchronized (serving) {
                gateway = serving.get(random.nextInt(serving.size()));
            }
            Count count = COUNT.get();
            try (Caller caller =
                    new Caller(setup.record, "c" + number, gateway.host, gateway.port, 4_000)) {
                boolean isOpen = caller.open(database, Setup.KEY);
                while (!sEnded && isOpen) {
                    count = COUNT.get();
                    count.mAsked.incrementAndGet();
                    boolean writes = number % 3 != 1 && random.nextInt(5) == 0;
                    String item = "item" + random.nextInt(50);
                    Caller.Answer answer =
                            caller.ask(writes ? "WRITE " + item + " v" + number : "READ " + item);
                    if (!answer.isDone()) {
                        break;
                    }
                    count.mServed.incrementAndGet();
                    Thread.sleep(50 + random.nextInt(100));
                }
                if (!isOpen) {
                    count.mAsked.incrementAndGet();
                }
                Thread.sleep(100);
            } catch (IOException e) {
                count.mAsked.incrementAndGet();
                sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
