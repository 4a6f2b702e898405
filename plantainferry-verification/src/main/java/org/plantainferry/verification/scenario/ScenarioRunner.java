package org.plantainferry.verification.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.plantainferry.verification.history.Checker;
import org.plantainferry.verification.history.Checkers;
import org.plantainferry.verification.history.History;
import org.plantainferry.verification.history.HistoryMetrics;
import org.plantainferry.verification.history.HistoryRecorder;

/** Runs a scenario against real instances and reports what its history shows. */
final class ScenarioRunner {
    private static final int MAX_EXAMPLES = 8;
    private static final long RECOVERY_WAIT_MILLIS = 2_000;

    private final Scenario mScenario;
    private final Path mDirectory;
    private final PrintStream mOut;
    private boolean mFailed;

    ScenarioRunner(Scenario scenario, Path directory, PrintStream out) {
        mScenario = scenario;
        mDirectory = directory;
        mOut = out;
    }

    /** Returns whether every promise and expectation held. */
    boolean run() throws IOException, InterruptedException {
        Files.createDirectories(mDirectory);
        HistoryRecorder recorder = new HistoryRecorder(mDirectory.resolve("history.jsonl"));
        Environment environment = new Environment(mScenario, mDirectory, recorder);
        // Instances must not outlive this process, whether it fails or is interrupted.
        Thread hook = new Thread(environment.fleet()::close, "end-instances");
        Runtime.getRuntime().addShutdownHook(hook);
        try (environment) {
            environment.start();
            ActionRunner actions = new ActionRunner(environment);
            long pause;
            try (RunMonitor observer = new RunMonitor(environment)) {
                runLoad(environment, actions);
                pause = observer.longestPauseMillis();
                observer.writeStatuses(mDirectory);
            }
            report(recorder.toHistory(environment.truths(), mScenario.limits()), actions, pause);
        } finally {
            environment.fleet().close();
            recorder.close();
        }
        return !mFailed;
    }

    private void runLoad(Environment environment, ActionRunner actions)
            throws InterruptedException {
        Workload workload = new Workload(environment);
        long start = System.nanoTime();
        workload.start();
        for (Scenario.TimedAction action : mScenario.actions()) {
            sleepUntil(start, action.atMillis());
            actions.run(action);
        }
        sleepUntil(start, mScenario.load().millis());
        workload.stop();
        actions.healAll();
        TimeUnit.MILLISECONDS.sleep(RECOVERY_WAIT_MILLIS);
    }

    private static void sleepUntil(long startNanos, long millis) throws InterruptedException {
        long until = startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        TimeUnit.NANOSECONDS.sleep(Math.max(0, until - System.nanoTime()));
    }

    private void report(History history, ActionRunner actions, long pauseMillis) {
        mOut.println("seed " + mScenario.seed());
        boolean isExpected =
                isExpected(Scenario.ExpectationKind.NO_BROKEN_PROMISE)
                        || mScenario.expectations().isEmpty();
        for (Checker checker : Checkers.all()) {
            reportChecker(checker.name(), checker.check(history), isExpected);
        }
        reportChecker("operators", actions.operatorViolations(), isExpected);
        HistoryMetrics measures = new HistoryMetrics(history);
        mOut.printf("replica share %.1f%%%n", measures.replicaReadPercent());
        List<Map.Entry<String, Double>> gaps = measures.failoverGapsSeconds();
        gaps.forEach(gap -> mOut.printf("failover gap %s %.2f s%n", gap.getKey(), gap.getValue()));
        measures.wrongfulRefusalPercents()
                .forEach(
                        (name, share) -> mOut.printf("wrongful refusals %s %.3f%%%n", name, share));
        mOut.println("needless stale refusals " + measures.needlessStaleRefusals());
        measures.workspaceSummaries().forEach(mOut::println);
        mOut.println("calls " + history.calls().size());
        mOut.println("longest pause of the runner " + pauseMillis + " ms");
        for (Scenario.Expectation expectation : mScenario.expectations()) {
            checkExpectation(expectation, measures, gaps);
        }
    }

    private boolean isExpected(Scenario.ExpectationKind kind) {
        return mScenario.expectations().stream().anyMatch(each -> each.kind() == kind);
    }

    private void reportChecker(String name, List<String> broken, boolean isExpected) {
        mOut.println(name + (broken.isEmpty() ? " kept" : " BROKEN " + broken.size() + " times"));
        // One example for each kind of break, so that a frequent one does not hide the others.
        Map<String, List<String>> kinds =
                broken.stream().collect(Collectors.groupingBy(ScenarioRunner::violationPattern));
        kinds.values().stream()
                .sorted(Comparator.comparingInt(texts -> -texts.size()))
                .limit(MAX_EXAMPLES)
                .forEach(texts -> mOut.println("  " + texts.size() + " as: " + texts.get(0)));
        mFailed |= isExpected && !broken.isEmpty();
    }

    private static String violationPattern(String text) {
        return text.replaceFirst(".*->", "").replaceAll("[0-9]+", "N");
    }

    private void checkExpectation(
            Scenario.Expectation expectation,
            HistoryMetrics measures,
            List<Map.Entry<String, Double>> gaps) {
        double limit = expectation.limit();
        boolean holds =
                switch (expectation.kind()) {
                    case NO_BROKEN_PROMISE -> true;
                    case FAILOVER_BELOW_SECONDS ->
                            gaps.stream().allMatch(gap -> gap.getValue() < limit);
                    case REPLICA_SHARE_ABOVE_PERCENT -> measures.replicaReadPercent() > limit;
                    case WRONGFUL_REFUSALS_BELOW_PERCENT ->
                            measures.wrongfulRefusalPercents().values().stream()
                                    .allMatch(share -> share < limit);
                };
        if (!holds) {
            mOut.println("MISSED " + expectation.kind() + " " + limit);
            mFailed = true;
        }
    }

    /** Removes the files of a run. */
    static void deleteFiles(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
