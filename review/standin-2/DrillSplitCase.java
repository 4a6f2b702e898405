import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A gateway that starts after the store came back from a copy replaces a primary on its own, while
 * the others go on with the former one.
 */
public final class DrillSplitCase {
    private static final double CONTACT_SECONDS = 4;
    // Within the doses of the site: a primary cut for 5 s, from 0.45 of the machines.
    private static final long CUT_MILLIS = 4_900;
    // With TROUBLE=cut, the primary is cut off without a drill before.
    private static final boolean DRILL = !"cut".equals(System.getenv("TROUBLE"));

    private static final int CALLERS_PER_GATEWAY = 12;

    private static volatile boolean sEnded;

    public static void main(String[] arguments) throws Exception {
        int status = Setup.NOT_RUN;
        try (Setup setup = new Setup(arguments[0], false, 0)) {
            status = run(setup);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    private static int run(Setup setup) throws Exception {
        Map<String, Object> ledger = Setup.route("xapu221", "primary", 1_000, true);
        setup.configure(7, List.of(ledger), List.of(Setup.KEY), 96);
        Store.Copy copy = setup.mStore.copy();
        List<Fleet.Gateway> gateways = new ArrayList<>();
        for (String zone : List.of("a", "b", "c")) {
            gateways.add(setup.mFleet.add("front-attica-" + zone + "-1", "attica-" + zone));
        }
        if (!setup.mFleet.awaitReady()) {
            return Setup.NOT_RUN;
        }
        setup.mStore.goAway();
        Group.sleep(1_000);
        if (Setup.TROUBLE && DRILL) {
            setup.mStore.comeBackFrom(copy);
        } else {
            setup.mStore.comeBack();
        }
        setup.mGroup.registerAll();
        // The core is stable again, and the machines are in touch.
        Group.sleep((long) (2 * CONTACT_SECONDS * 1_000));
        String host = setup.mFleet.nextHost();
        Fleet.Gateway added = setup.mFleet.add("front-attica-b-2", "attica-b");
        if (!added.awaitReady()) {
            return Setup.NOT_RUN;
        }
        Group.sleep(1_000);
        Set<String> acknowledged = ConcurrentHashMap.newKeySet();
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < CALLERS_PER_GATEWAY; number++) {
            gateways.forEach(gateway -> callers.add(Store.daemon(() -> write(setup, gateway, acknowledged))));
        }
        callers.add(Store.daemon(() -> write(setup, added, ConcurrentHashMap.newKeySet())));
        for (Thread caller : callers) {
            caller.start();
            Group.sleep(5);
        }
        Group.sleep(1_000);
        Group.Server former = setup.mGroup.primary();
        if (Setup.TROUBLE) {
            former.cutOff(Set.of(host));
        }
        Group.sleep(CUT_MILLIS);
        if (Setup.TROUBLE) {
            former.reconnect();
        }
        Group.sleep(2_500);
        sEnded = true;
        for (Thread caller : callers) {
            caller.join(7_000);
        }
        return judge(setup, former, acknowledged);
    }

    /** Sends writes, each in a session of its own, and keeps the ids of the acknowledged ones. */
    private static void write(Setup setup, Fleet.Gateway gateway, Set<String> acknowledged) {
        while (!sEnded) {
            try (Caller caller = new Caller(setup.mRecord, "caller of " + gateway.mName, gateway.front())) {
                if (caller.open("xapu221", "-").startsWith("READY")
                        && caller.succeeds("WRITE 1a4 v" + (int) (setup.mRecord.seconds() * 1e3))) {
                    acknowledged.add(caller.lastId());
                }
            } catch (Exception e) {
                setup.mRecord.line("caller", "no answer: " + e.getMessage());
            }
            Group.sleep(25);
        }
    }

    private static int judge(Setup setup, Group.Server former, Set<String> acknowledged) {
        if (acknowledged.isEmpty()) {
            return Setup.NOT_RUN;
        }
        if (setup.mGroup.promotions() == 0) {
            setup.mRecord.say("no server was promoted; " + acknowledged.size() + " writes were acknowledged");
            return Setup.HELD;
        }
        double led = setup.mGroup.ledSeconds();
        List<Group.Run> stale =
                setup.mGroup.runs().stream()
                        .filter(run -> run.server().equals(former.mId) && run.seconds() > led)
                        .filter(run -> run.text().startsWith("WRITE") && acknowledged.contains(run.requestId()))
                        .toList();
        Group.Server leader = setup.mGroup.primary();
        long lost =
                stale.stream()
                        .filter(run -> leader.mLog.stream().noneMatch(commit -> commit.requestId().equals(run.requestId())))
                        .count();
        setup.mRecord.say(String.format("%s leads since %.3f; later, %d writes were committed at %s and acknowledged by gateways that were not cut off; %d of them are not in the log of %s", leader.mId, led, stale.size(), former.mId, lost, leader.mId));
        return stale.isEmpty() ? Setup.HELD : Setup.BROKEN;
    }
}
