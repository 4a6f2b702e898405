import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Two gateways promote with the same fence token, because the store came back from a copy. */
public final class DrillTokenCase {
    private static final double CONTACT_SECONDS = 4;

    public static void main(String[] arguments) throws Exception {
        int status = Setup.NOT_RUN;
        try (Setup setup = new Setup(arguments[0], true, 0)) {
            status = run(setup);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    private static int run(Setup setup) throws Exception {
        Map<String, Object> ledger = Setup.route("xapu221", "primary", 1_000, false);
        setup.configure(7, List.of(ledger), List.of(Setup.KEY), 96);
        Fleet.Gateway first = setup.mFleet.add("front-attica-a-1", "attica-a");
        Fleet.Gateway second = setup.mFleet.add("front-attica-b-1", "attica-b");
        setup.mFleet.add("front-attica-c-1", "attica-c");
        if (!setup.mFleet.awaitReady()) {
            return Setup.NOT_RUN;
        }
        Group.sleep(1_000);
        if (!writes(setup, first, 3_000)) {
            return Setup.NOT_RUN;
        }
        Store.Copy copy = setup.mStore.copy();
        Group.Server former = setup.mGroup.primary();
        former.crash();
        if (!writesUntilPromoted(setup, first, 1)) {
            return Setup.NOT_RUN;
        }
        former.start();
        Group.sleep(1_000);
        setup.mStore.goAway();
        Group.sleep(700);
        if (Setup.TROUBLE) {
            setup.mStore.comeBackFrom(copy);
        } else {
            setup.mStore.comeBack();
        }
        setup.mGroup.registerAll();
        // The operator goes on with its work, so that revisions pass those of before the drill.
        for (int version = 12; version < 18; version++) {
            setup.configure(version, List.of(ledger, Setup.route("fiti" + version, "primary", 1_000, false)), List.of(Setup.KEY), 96);
            Group.sleep(330);
        }
        Group.sleep((long) (2 * CONTACT_SECONDS * 1_000));
        setup.mGroup.primary().crash();
        writesUntilPromoted(setup, second, 2);
        Group.sleep(500);
        Map<Long, String> holders = new HashMap<>();
        for (Cloud.Call call : setup.mCloud.calls()) {
            String before = holders.putIfAbsent(call.token(), call.holder());
            if (before != null && !before.equals(call.holder())) {
                setup.mRecord.say("fence token " + call.token() + " of service " + call.service() + " was sent by " + before + " and by " + call.holder());
                return Setup.BROKEN;
            }
        }
        setup.mRecord.say(setup.mCloud.calls().size() + " promote calls, each holder with tokens of its own");
        return setup.mGroup.promotions() >= 2 ? Setup.HELD : Setup.NOT_RUN;
    }

    /** Sends writes through one gateway until one succeeds. */
    private static boolean writes(Setup setup, Fleet.Gateway gateway, long millis) throws Exception {
        double end = setup.mRecord.seconds() + millis / 1e3;
        while (setup.mRecord.seconds() < end) {
            try (Caller caller = new Caller(setup.mRecord, "caller", gateway.front())) {
                if (caller.open("xapu221", Setup.KEY).startsWith("READY") && caller.succeeds("WRITE 1a4 v" + (int) (setup.mRecord.seconds() * 1e3))) {
                    return true;
                }
            }
            Group.sleep(50);
        }
        return false;
    }

    private static boolean writesUntilPromoted(Setup setup, Fleet.Gateway gateway, long promotions) throws Exception {
        double end = setup.mRecord.seconds() + 15;
        while (setup.mRecord.seconds() < end) {
            boolean succeeded = writes(setup, gateway, 200);
            if (succeeded && setup.mGroup.promotions() >= promotions) {
                return true;
            }
            Group.sleep(20);
        }
        return false;
    }
}
