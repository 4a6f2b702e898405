package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stops two gateways with SIGTERM and starts them again, one after the other, while requesters run
 * transactions of up to 12 statements with pauses.
 *
 * <p>Counts, as the rule LOST does, the requests whose connection ended without a whole answer.
 */
final class DrainCase {
    private static final int SESSIONS = 24;
    private static final int STATEMENTS = 12;
    private static final int MEAN_WORK_MILLIS = 150;
    private static final int MIN_PAUSE_MILLIS = 50;
    private static final int MORE_PAUSE_MILLIS = 300;
    private static final int GRACE_MILLIS = 6_000;
    // Requests that were sent no later than this after SIGTERM are excused.
    private static final int EXCUSED_MILLIS = 3_000;
    private static final int LOST_MILLIS = 200;

    private final Setup mSetup;
    private final Gateway mGateway;
    private final List<Cut> mCuts = new ArrayList<>();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private volatile boolean mEnded;

    private record Cut(String id, long sentNanos, long cutNanos) {}

    private DrainCase(Setup setup, Gateway gateway) {
        mSetup = setup;
        mGateway = gateway;
    }

    public static void main(String[] arguments) throws Exception {
        Setup setup = new Setup(arguments[0], true, SESSIONS, MEAN_WORK_MILLIS);
        setup.startServers("a", "b", "a");
        setup.writeConfiguration(1, 100, 500);
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
        int lost = 0;
        int answered = 0;
        for (Gateway gateway : gateways) {
            DrainCase round = new DrainCase(setup, gateway);
            lost += round.run();
            answered += round.mAnswered.get();
        }
        String counts = lost + " requests lost, " + answered + " answered";
        setup.exit(lost > 0 ? 1 : answered > 0 ? 0 : 2, counts);
    }

    private int run() throws IOException, InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (int index = 0; index < SESSIONS; index++) {
            int number = index;
            Thread caller = new Thread(() -> call(number));
            callers.add(caller);
            caller.start();
        }
        Thread.sleep(3_000);
        long terminatedNanos = System.nanoTime();
        if (mSetup.trouble) {
            mSetup.record.note("SIGTERM to " + mGateway.name);
            mGateway.terminate();
            mGateway.awaitExit(GRACE_MILLIS);
        } else {
            Thread.sleep(GRACE_MILLIS);
        }
        mEnded = true;
        for (Thread caller : callers) {
            caller.join();
        }
        int lost = 0;
        for (Cut cut : mCuts) {
            lost += isLost(cut, terminatedNanos) ? 1 : 0;
        }
        if (mSetup.trouble) {
            mGateway.start();
            mGateway.awaitReady(15_000);
        }
        return lost;
    }

    private boolean isLost(Cut cut, long terminatedNanos) {
        double sent = (cut.sentNanos - terminatedNanos) / 1e6;
        double ended = (cut.cutNanos - terminatedNanos) / 1e6;
        boolean isPassedOn = mSetup.group.arrived.contains(cut.id);
        boolean isLate = ended - sent > LOST_MILLIS;
        boolean isExcused = sent <= EXCUSED_MILLIS;
        mSetup.record.note(
                "%s sent %.0f ms after SIGTERM, connection ended at %.0f ms without an answer%s%s"
                        .formatted(
                                cut.id,
                                sent,
                                ended,
                                isPassedOn ? ", passed on to a server" : "",
                                isExcused ? ", excused" : ""));
        return (isPassedOn || isLate) && !isExcused;
    }

    /** Runs transactions until the connection ends; does not come back. */
    private void call(int number) {
        Random random = new Random();
        String database = number % 2 == 0 ? Setup.PRIMARY : Setup.BOUNDED;
        String begin = number % 2 == 0 ? "BEGIN" : "BEGIN READ";
        String name = mGateway.name + "/c" + number;
        try (Caller caller = new Caller(mSetup.record, name, mGateway.host, mGateway.port, 8_000)) {
            if (!caller.open(database, Setup.KEY)) {
                return;
            }
            while (!mEnded && runTransaction(caller, begin, random)) {
                Thread.sleep(random.nextInt(MORE_PAUSE_MILLIS));
            }
        } catch (IOException | InterruptedException e) {
            mSetup.record.line(name + " ends: " + e);
        }
    }

    /** Runs one transaction; returns whether the session can go on. */
    private boolean runTransaction(Caller caller, String begin, Random random)
            throws InterruptedException {
        if (!ask(caller, begin).isDone()) {
            return false;
        }
        for (int statement = 0; statement < STATEMENTS && !mEnded; statement++) {
            Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(MORE_PAUSE_MILLIS));
            Caller.Answer answer = ask(caller, "READ item" + random.nextInt(9));
            if (!answer.isWhole()) {
                return false;
            }
            if (!answer.isDone()) {
                break;
            }
        }
        return ask(caller, "COMMIT").state().equals("I");
    }

    private Caller.Answer ask(Caller caller, String text) {
        long sent = System.nanoTime();
        Caller.Answer answer = caller.ask(text);
        if (answer.isWhole()) {
            mAnswered.incrementAndGet();
            return answer;
        }
        synchronized (mCuts) {
            mCuts.add(new Cut(caller.lastId, sent, System.nanoTime()));
        }
        return answer;
    }
}
