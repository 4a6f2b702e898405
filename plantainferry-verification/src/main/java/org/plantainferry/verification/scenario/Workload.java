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

/**
 * Runs the clients of a scenario, each in its own thread; every value that they write is unique.
 */
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

    /**
     * Stops the load and waits at most {@link #JOIN_TIMEOUT_MILLIS} for each client to finish its
     * call.
     */
    void stop() throws InterruptedException {
        mStopped = true;
        for (Thread thread : mThreads) {
            thread.join(JOIN_TIMEOUT_MILLIS);
        }
    }

    private interface ClientIteration {
        void run() throws InterruptedException;
    }

    private void startThread(ClientIteration clientLoop) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                while (!mStopped) {
                                    clientLoop.run();
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

        /**
         * Creates a client. The numbers select the service, workspace and key.
         *
         * @param number the number of the client among all clients
         * @param numberOfKind the number of the client among the clients of its kind
         */
        Client(int number, int numberOfKind, String name) {
            Scenario scenario = mEnvironment.scenario();
            mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed() * 1_000 + number);
            mName = name;
            List<String> services = scenario.deployment().services();
            mUsesOpenRoute = name.startsWith("r") && numberOfKind % 4 == 3;
            mService =
                    mUsesOpenRoute ? services.get(0) : services.get(numberOfKind % services.size());
            List<Scenario.Workspace> workspaces = scenario.workspaces();
            Scenario.Workspace workspace =
                    mUsesOpenRoute ? workspaces.get(0) : workspaces.get(number % workspaces.size());
            mInstances =
                    workspace
                            .instance()
                            .map(List::of)
                            .orElseGet(mEnvironment.fleet()::instanceNames);
            String keyId = workspace.keyIds().get(number / workspaces.size() % 2);
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

        /** Runs one transaction, whose statements go to random instances. */
        void runTransaction() throws InterruptedException {
            CallRecord beginRecord = send(request(Operation.BEGIN, ""));
            pause();
            if (!beginRecord.isSuccess()) {
                return;
            }
            String id = beginRecord.answer().flatMap(Answer::result).orElse("");
            String value = mName + "." + ++mSequence;
            boolean isComplete = true;
            for (String keySuffix : List.of("x", "y")) {
                String statement = "PUT " + mName + keySuffix + " " + value + keySuffix;
                isComplete &=
                        sendInTransaction(id, Operation.TRANSACTION_WRITE, statement).isSuccess();
                pause();
            }
            sendInTransaction(id, Operation.TRANSACTION_READ, "GET " + mName + "x");
            boolean shouldCommit = isComplete && mRandom.nextInt(5) != 0;
            finishTransaction(id, shouldCommit ? Operation.COMMIT : Operation.ROLLBACK);
            pause();
        }

        /**
         * Retries a commit or rollback that was not run, because an abandoned transaction would
         * delay a drain.
         */
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

        /**
         * Sends a request to a random instance and waits after a failure.
         *
         * <p>The wait is the delay that the refusal names, at most {@link #MAX_RETRY_DELAY_MILLIS},
         * or 10 ms without one.
         */
        private CallRecord send(CallerClient.Request request) throws InterruptedException {
            ScenarioFleet fleet = mEnvironment.fleet();
            String instance = mInstances.get(mRandom.nextInt(mInstances.size()));
            CallRecord record = mCaller.call(instance, fleet.callerAddress(instance), request);
            if (!record.isSuccess() && record.outcome() != Outcome.NOT_SENT) {
                long retryAfterMillis = record.answer().map(Answer::retryAfterMillis).orElse(0L);
                long delayMillis =
                        retryAfterMillis > 0
                                ? Math.min(retryAfterMillis, MAX_RETRY_DELAY_MILLIS)
                                : 10;
                TimeUnit.MILLISECONDS.sleep(delayMillis);
            }
            return record;
        }

        private void pause() throws InterruptedException {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MIN_MILLIS + mRandom.nextInt(PAUSE_RANGE_MILLIS));
        }
    }
}
