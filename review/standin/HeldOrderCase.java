package review;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Cuts off the gateway that promoted last from the platform's calls of POST /promote, and the
 * primary is to be replaced. Checks that no generation number arrives that is lower than one before it, as
 * the rule ONE does where the platform does not check fences.
 */
final class HeldOrderCase {
    private static final int CUT_MILLIS = 12_000;
    private static final int DRAIN_MILLIS = 7_000;
    private static final int LINGER_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        // TROUBLE=release: the primaries are replaced, but no link is cut.
        boolean cuts = !List.of("0", "release").contains(String.valueOf(System.getenv("TROUBLE")));
        Setup setup = new Setup(arguments[0], false, 5, 20);
        setup.startServers("a", "b", "c");
        setup.writeConfiguration(1, 69, 500);
        Map<Gateway, HoldingProxy> links = new HashMap<>();
        for (String zone : List.of("a", "b", "c")) {
            HoldingProxy link = new HoldingProxy(setup.store.address());
            Gateway gateway = setup.gateway("front-" + zone + "-1", zone, link.address());
            links.put(gateway, link);
            gateway.start();
        }
        for (Gateway gateway : setup.gateways) {
            if (!gateway.awaitReady(15_000)) {
                setup.exit(2, gateway.name + " did not become ready");
            }
        }
        for (Gateway gateway : setup.gateways) {
            Thread caller = new Thread(() -> call(setup, gateway));
            caller.setDaemon(true);
            caller.start();
        }
        Thread.sleep(3_000);
        if (setup.trouble) {
            releasePrimary(setup);
            Thread.sleep(6_000);
            Gateway leader = leader(setup, links);
            if (cuts) {
                setup.record.note(leader.name + " is cut off from the platform's promotion calls");
                links.get(leader).cut();
            }
            Thread.sleep(1_000);
            releasePrimary(setup);
            Thread.sleep(CUT_MILLIS - 1_000);
            if (cuts) {
                setup.record.note("the cut ends");
                links.get(leader).heal();
            }
        }
        Thread.sleep(6_000);
        check(setup);
    }

    /** Reads from the primary, so that its end is noticed. */
    private static void call(Setup setup, Gateway gateway) {
        while (true) {
            try (Caller caller =
                    new Caller(setup.record, gateway.name, gateway.host, gateway.port, 3_000)) {
                boolean isOpen = caller.open(Setup.PRIMARY, Setup.KEY);
                while (isOpen && caller.ask("READ item").isDone()) {
                    Thread.sleep(100);
                }
                Thread.sleep(100);
            } catch (IOException e) {
                setup.record.line("a requester fails: " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Announces that the primary is to be replaced; it ends after DrainMs and a little longer. */
    private static void releasePrimary(Setup setup) {
        String primary = setup.group.primary();
        setup.record.note("primary " + primary + " is draining");
        setup.group.server(primary).announceLeaving();
        Thread end =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(DRAIN_MILLIS + LINGER_MILLIS);
                                setup.group.server(primary).crash();
                                setup.group.server(primary).expire();
                            } catch (IOException | InterruptedException e) {
                                setup.record.line("the end of " + primary + " failed: " + e);
                            }
                        });
        end.setDaemon(true);
        end.start();
    }

    /** Returns the gateway whose call promoted last. */
    private static Gateway leader(Setup setup, Map<Gateway, HoldingProxy> links) {
        for (Gateway gateway : setup.gateways) {
            if (links.get(gateway).forwarded() > 0) {
                return gateway;
            }
        }
        setup.exit(2, "nobody promoted");
        throw new IllegalStateException();
    }

    private static void check(Setup setup) {
        long highest = 0;
        int lower = 0;
        for (long token : setup.orderTokens) {
            lower += token < highest ? 1 : 0;
            highest = Math.max(highest, token);
        }
        String text = lower + " orders with a lower number than one before: " + setup.orderTokens;
        if (setup.trouble && setup.orderTokens.size() < 2) {
            setup.exit(2, text);
        }
        setup.exit(lower > 0 ? 1 : 0, text);
    }
}
