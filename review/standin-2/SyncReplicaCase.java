import java.util.List;
import java.util.Map;

/** A replica without an acknowledged commit is promoted once the entry of the other one has lapsed. */
public final class SyncReplicaCase {
    // Within the largest doses of ombrellai-lario: a replica down for 5.29 s, a deaf replica for 6.5 s, a primary down for 7 s.
    private static final double REPLICA_DOWN_SECONDS = 5.2;
    private static final double PRIMARY_DOWN_SECONDS = 7;

    public static void main(String[] arguments) throws Exception {
        int status = Setup.NOT_RUN;
        try (Setup setup = new Setup(arguments[0], true, 1)) {
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
        setup.mFleet.add("front-attica-b-1", "attica-b");
        setup.mFleet.add("front-attica-c-1", "attica-c");
        if (!setup.mFleet.awaitReady()) {
            return Setup.NOT_RUN;
        }
        Group.sleep(1_000);
        String acknowledged = null;
        Group.Server primary = setup.mGroup.server("i-1");
        Group.Server synchronous = setup.mGroup.server("i-2");
        Group.Server deaf = setup.mGroup.server("i-3");
        if (Setup.TROUBLE) {
            deaf.setDeaf(true);
        }
        try (Caller caller = new Caller(setup.mRecord, "caller", first.front())) {
            caller.open("xapu221", Setup.KEY);
            for (int number = 0; number < 20; number++) {
                if (caller.succeeds("WRITE 1a4 v" + number)) {
                    acknowledged = caller.lastId();
                }
                Group.sleep(30);
            }
        }
        if (acknowledged == null) {
            return Setup.NOT_RUN;
        }
        String last = acknowledged;
        double crashed = setup.mRecord.seconds();
        if (Setup.TROUBLE) {
            synchronous.crash();
        }
        primary.crash();
        ask(setup, first, crashed + REPLICA_DOWN_SECONDS);
        deaf.setDeaf(false);
        if (Setup.TROUBLE) {
            synchronous.start();
        }
        ask(setup, first, crashed + PRIMARY_DOWN_SECONDS);
        primary.start();
        ask(setup, first, crashed + PRIMARY_DOWN_SECONDS + 3);
        Group.Server leader = setup.mGroup.primary();
        boolean hasCommit = leader.mLog.stream().anyMatch(commit -> commit.requestId().equals(last));
        setup.mRecord.say("after " + setup.mGroup.promotions() + " promotions " + leader.mId + " leads; it " + (hasCommit ? "has" : "lacks") + " the acknowledged commit of " + last);
        return hasCommit ? Setup.HELD : Setup.BROKEN;
    }

    /** Sends reads until a time; they show what the servers know of the last write. */
    private static void ask(Setup setup, Fleet.Gateway gateway, double endSeconds) throws Exception {
        while (setup.mRecord.seconds() < endSeconds) {
            try (Caller caller = new Caller(setup.mRecord, "caller", gateway.front())) {
                if (caller.open("xapu221", Setup.KEY).startsWith("READY")) {
                    caller.query("READ 1a4");
                }
            }
            Group.sleep(100);
        }
    }
}
