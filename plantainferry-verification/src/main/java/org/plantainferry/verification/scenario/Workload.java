package org.plantainferry.verification.scenario;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainferry.verification.history.Answer;
import org.plantainferry.verification.history.CallRecord;
import org.plantainferry.verification.history.Operation;
import org.plantainferry.verification.history.Outcome;

/** Runs the clients of a scenario, one thread each; every value that they write is unique. */
final class Workload {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long JOIN_TIMEOUT_MILLIS = 10_000;

    private final Environment mEnvironment;
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
                    .build();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopped;

    Workload(Environment environment) {
        mEnvironment = environment;
    }

    void start() {
        Scenario.Load load = mEnvironment.scenario().load();
        int number = 0;
        for (int i = 0; i < load.writers(); i++, number++) {
            startThread(new Client(number, i, "w" + i)::runWrite);
        }
        for (int i = 0; i < load.readers(); i++, number++) {
            startThread(new Client(number, i, "r" + i)::runRead);
        }
        for (int i = 0; i < load.transactions(); i++, number++) {
            startThread(new Client(number, i, "t" + i)::runTransaction);
        }
    }

    /** Ends the load; calls in progress are waited for. */
    void stop() throws InterruptedException {
        mStopped = true;
        for (Thread thread : mThreads) {
            thread.join(JOIN_TIMEOUT_MILLIS);
        }
    }

    private interface ClientIteration {
        void run() throws InterruptedException;
    }

    private void startThread(ClientIteration step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (!mStopped) {
                                    step.run();
                                }
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "client-" + mThreads.size());
        thread.setDaemon(true);
        mThreads.add(thread);
        thread.start();
    }

    private final class Client {
        private static final long DEADLINE_MILLIS = 3_000;
        private static final long SHORT_DEADLINE_MILLIS = 500;
        private static final long MAXIMUM_AGE_MILLIS = 1_000;
        private static final int PAUSE_MIN_MILLIS = 5;
        private static final int PAUSE_RANGE_MILLIS = 20;
        private static final long MAX_RETRY_DELAY_MILLIS = 100;
        private static final int IDEMPOTENT_WRITE_ATTEMPTS = 4;
        private static final int FINISH_ATTEMPTS = 6;
        private static final String TRANSACTION_LOST = "TRANSACTION_LOST";

        private final UniformRandomProvider mRandom;
        private final CallerClient mCaller;
        private final String mService;
        private final String mName;
        private final boolean mUsesOpenRoute;
        private final List<String> mInstances;
        private long mSequence;

        /** Creates a client; the number among its kind chooses workspace, key and service. */
        Client(int number, int numberOfKind, String name) {
            Scenario scenario = mEnvironment.scenario();
            mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed() * 1_000 + number);
            mName = name;
            List<String> services = scenario.deployment().services();
            mUsesOpenRoute = name.startsWith("r") && numberOfKind % 4 == 3;
            mService =
                    mUsesOpenRoute ? services.get(0) : services.get(numberOfKind % services.size());
            List<Scenario.Workspace> all = scenario.workspaces();
            Scenario.Workspace workspace =
                    mUsesOpenRoute ? all.get(0) : all.get(number % all.size());
            mInstances =
                    workspace
                            .instance()
                            .map(List::of)
                            .orElseGet(mEnvironment.fleet()::instanceNames);
            String keyId = workspace.keyIds().get(number / all.size() % 2);
            mCaller =
                    new CallerClient(
                            mHttp,
                            mEnvironment.recorder(),
                            mEnvironment.sessionTokenCodec(),
                            new CallerClient.Identity(
                                    name, workspace.name(), keyId, mEnvironment.key(keyId)));
        }

        void runWrite() throws InterruptedException {
            String value = mName + "." + ++mSequence;
            String key = mRandom.nextInt(4) == 0 ? "shared-" + mService : "own-" + mName;
            String statement =
                    mRandom.nextInt(5) == 0
                            ? "APPEND list-" + mName + " ," + value
                            : "PUT " + key + " " + value;
            CallerClient.Request request = request(Operation.WRITE, statement);
            if (mSequence % 2 == 0) {
                retry(
                        request.withIdempotencyKey(mName + "-" + mSequence),
                        IDEMPOTENT_WRITE_ATTEMPTS);
            } else {
                send(request);
            }
            if (mRandom.nextInt(2) == 0) {
                send(request(Operation.READ, "GET " + key));
            }
            pause();
        }

        void runRead() throws InterruptedException {
            Scenario.Load load = mEnvironment.scenario().load();
            int writer = mRandom.nextInt(Math.max(1, load.writers()));
            String key = mRandom.nextInt(3) == 0 ? "shared-" + mService : "own-w" + writer;
            CallerClient.Request request =
                    request(mUsesOpenRoute ? Operation.OPEN_READ : Operation.READ, "GET " + key);
            send(mRandom.nextInt(3) == 0 ? request.withMaximumAge(MAXIMUM_AGE_MILLIS) : request);
            pause();
        }

        /** Runs one transaction; its statements go to different instances. */
        void runTransaction() throws InterruptedException {
            CallRecord begun = send(request(Operation.BEGIN, ""));
            pause();
            if (!begun.isSuccess()) {
                return;
            }
            String id = begun.answer().flatMap(Answer::result).orElse("");
            String value = mName + "." + ++mSequence;
            boolean isWhole = true;
            for (String part : List.of("x", "y")) {
                String statement = "PUT " + mName + part + " " + value + part;
                isWhole &=
                        sendInTransaction(id, Operation.TRANSACTION_WRITE, statement).isSuccess();
                pause();
            }
            sendInTransaction(id, Operation.TRANSACTION_READ, "GET " + mName + "x");
            boolean commits = isWhole && mRandom.nextInt(5) != 0;
            finishTransaction(id, commits ? Operation.COMMIT : Operation.ROLLBACK);
            pause();
        }

        /** Repeats an end that was not run; an abandoned transaction would hold up a drain. */
        private void finishTransaction(String id, Operation operation) throws InterruptedException {
            for (int attempt = 0; attempt < FINISH_ATTEMPTS; attempt++) {
                CallRecord record = sendInTransaction(id, operation, "");
                boolean isLost =
                        record.answer().map(Answer::code).orElse("").equals(TRANSACTION_LOST);
                if (!record.isNotRun() || isLost) {
                    return;
                }
            }
        }

        private CallRecord sendInTransaction(String id, Operation operation, String statement)
                throws InterruptedException {
            return send(request(operation, statement).inTransaction(id));
        }

        private CallerClient.Request request(Operation operation, String statement) {
            long deadline = mRandom.nextInt(4) == 0 ? SHORT_DEADLINE_MILLIS : DEADLINE_MILLIS;
            return CallerClient.Request.of(mService, operation, statement, deadline);
        }

        private void retry(CallerClient.Request request, int attempts) throws InterruptedException {
            for (int attempt = 0; attempt < attempts; attempt++) {
                CallRecord record = send(request);
                if (record.isSuccess() || mStopped) {
                    return;
                }
            }
        }

        /** Sends to a random instance, and after a refusal waits as long as it says. */
        private CallRecord send(CallerClient.Request request) throws InterruptedException {
            ScenarioFleet fleet = mEnvironment.fleet();
            String instance = mInstances.get(mRandom.nextInt(mInstances.size()));
            CallRecord record = mCaller.call(instance, fleet.callerAddress(instance), request);
            if (!record.isSuccess() && record.outcome() != Outcome.NOT_SENT) {
                long retry = record.answer().map(Answer::retryAfterMillis).orElse(0L);
                long wait = retry > 0 ? Math.min(retry, MAX_RETRY_DELAY_MILLIS) : 10;
                TimeUnit.MILLISECONDS.sleep(wait);
            }
            return record;
        }

        private void pause() throws InterruptedException {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MIN_MILLIS + mRandom.nextInt(PAUSE_RANGE_MILLIS));
        }
    }
}
