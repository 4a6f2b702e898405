import java.util.List;
import java.util.Map;

/** A configuration that is written after the store came back from a copy is not applied. */
public final class DrillConfigCase {
    private static final double CONTACT_SECONDS = 4;
    private static final double CONFIG_APPLY_SECONDS = 3;
    private static final double OUTER_SECONDS = 12;

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
        Group other = setup.addOtherService();
        Map<String, Object> moved = Setup.route("lepu270", Setup.SERVICE, "primary", 1_000, true);
        Map<String, Object> keyed = Setup.route("xapu221", "primary", 1_000, false);
        setup.configure(7, List.of(moved, keyed), List.of(Setup.KEY), 96);
        Store.Copy copy = setup.mStore.copy();
        setup.mFleet.add("front-attica-a-1", "attica-a");
        setup.mFleet.add("front-attica-b-1", "attica-b");
        Fleet.Gateway last = setup.mFleet.add("front-attica-c-1", "attica-c");
        if (!setup.mFleet.awaitReady()) {
            return Setup.NOT_RUN;
        }
        if (!succeeds(setup, last, "lepu270", "-", "READ 1a4")
                || !succeeds(setup, last, "xapu221", Setup.KEY, "READ 1a4")) {
            return Setup.NOT_RUN;
        }
        setup.mStore.goAway();
        Group.sleep(1_000);
        if (Setup.TROUBLE) {
            setup.mStore.comeBackFrom(copy);
        } else {
            setup.mStore.comeBack();
        }
        setup.mGroup.registerAll();
        other.registerAll();
        // The core is stable again, and the machines are in touch.
        Group.sleep((long) (2 * CONTACT_SECONDS * 1_000));
        Map<String, Object> now = Setup.route("lepu270", Setup.OTHER_SERVICE, "primary", 1_000, true);
        double acknowledged = setup.configure(12, List.of(now, keyed), List.of(Setup.KEY), 96);
        setup.mRecord.say(String.format("version 12, in which lepu270 goes to %s, is acknowledged at %.3f", Setup.OTHER_SERVICE, acknowledged));
        Group.sleep((long) ((CONFIG_APPLY_SECONDS + OUTER_SECONDS) * 1_000) + 500);
        double sent = setup.mRecord.seconds();
        int refusedWithKey = 0;
        for (int round = 0; round < 5; round++) {
            succeeds(setup, last, "lepu270", "-", "WRITE 1a4 late" + round);
            refusedWithKey += succeeds(setup, last, "xapu221", Setup.KEY, "READ 1a4") ? 0 : 1;
            Group.sleep(200);
        }
        long atOld = lateWrites(setup.mGroup, sent);
        long atNew = lateWrites(other, sent);
        setup.mRecord.say(String.format("of 5 writes sent over %.1f s after the ack, %d ran at the old service and %d at the new one; %d of 5 requests with a valid key were refused", CONFIG_APPLY_SECONDS + OUTER_SECONDS, atOld, atNew, refusedWithKey));
        return atOld > 0 ? Setup.BROKEN : atNew > 0 ? Setup.HELD : Setup.NOT_RUN;
    }

    private static long lateWrites(Group group, double sentSeconds) {
        return group.runs().stream()
                .filter(run -> run.seconds() > sentSeconds && run.text().startsWith("WRITE 1a4 late"))
                .count();
    }

    private static boolean succeeds(
            Setup setup, Fleet.Gateway gateway, String database, String key, String text)
            throws Exception {
        try (Caller caller = new Caller(setup.mRecord, "caller", gateway.front())) {
            return caller.open(database, key).startsWith("READY") && caller.succeeds(text);
        }
    }
}
