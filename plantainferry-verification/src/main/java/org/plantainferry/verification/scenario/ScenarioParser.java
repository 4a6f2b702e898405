package org.plantainferry.verification.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the scenario language, one statement per line; {@code #} begins a comment. */
final class ScenarioParser {
    private static final int MAX_INSTANCES = 16;
    private static final Pattern SEED = Pattern.compile("seed (\\d{1,18})");
    private static final Pattern DEPLOYMENT = Pattern.compile("deployment (\\S+)");
    private static final Pattern INSTANCES =
            Pattern.compile("instances (\\d{1,2}) per failure domain");
    private static final Pattern WORKSPACE =
            Pattern.compile(
                    "workspace ([a-z0-9][a-z0-9-]*) rate (\\d+(?:\\.\\d+)?)"
                            + " burst (\\d+(?:\\.\\d+)?)(?: at (\\S+))?");
    private static final Pattern LOAD =
            Pattern.compile(
                    "load writers (\\d{1,3}) readers (\\d{1,3}) transactions (\\d{1,3})"
                            + " for (\\d{1,4})s");
    private static final Pattern TIMED_ACTION =
            Pattern.compile("at (\\d{1,4}(?:\\.\\d{1,3})?)s (.+)");
    private static final String EXPECT_PREFIX = "expect ";
    private static final Pattern EXPECT_FAILOVER =
            Pattern.compile("expect failover below (\\d+(?:\\.\\d+)?)s");
    private static final Pattern EXPECT_REPLICA_SHARE =
            Pattern.compile("expect replica share above (\\d+(?:\\.\\d+)?)%");
    private static final Pattern EXPECT_WRONGFUL_REFUSALS =
            Pattern.compile("expect wrongful refusals below (\\d+(?:\\.\\d+)?)%");

    private final List<Scenario.Workspace> mWorkspaces = new ArrayList<>();
    private final List<Scenario.TimedAction> mActions = new ArrayList<>();
    private final List<Scenario.Expectation> mExpectations = new ArrayList<>();
    private Optional<Long> mSeed = Optional.empty();
    private Optional<Deployment> mDeployment = Optional.empty();
    private Optional<Scenario.Load> mLoad = Optional.empty();
    private int mInstancesPerDomain = 2;
    private long mTimeMillis;

    private ScenarioParser() {}

    static Scenario parse(List<String> lines) throws ScenarioSyntaxException {
        return new ScenarioParser().parseLines(lines);
    }

    private Scenario parseLines(List<String> lines) throws ScenarioSyntaxException {
        int line = 0;
        for (String text : lines) {
            line++;
            String statement = text.replaceFirst("#.*", "").trim().replaceAll("\\s+", " ");
            if (!statement.isEmpty()) {
                parseStatement(statement, line);
            }
        }
        Deployment deployment =
                mDeployment.orElseThrow(missingStatement(line, "deployment lario or jamaica"));
        Scenario.Load load = mLoad.orElseThrow(missingStatement(line, "load"));
        if (mWorkspaces.isEmpty()) {
            throw new ScenarioSyntaxException(line, "no workspace is stated");
        }
        Scenario scenario =
                new Scenario(
                        mSeed.orElse(1L),
                        deployment,
                        mInstancesPerDomain,
                        mWorkspaces,
                        load,
                        mActions,
                        mExpectations);
        checkReferences(scenario, line);
        return scenario;
    }

    private static java.util.function.Supplier<ScenarioSyntaxException> missingStatement(
            int line, String what) {
        return () -> new ScenarioSyntaxException(line, "the statement \"" + what + "\" is missing");
    }

    private void parseStatement(String statement, int line) throws ScenarioSyntaxException {
        Matcher matcher = SEED.matcher(statement);
        if (matcher.matches()) {
            mSeed = Optional.of(Long.parseLong(matcher.group(1)));
        } else if (matcher.usePattern(DEPLOYMENT).matches()) {
            String name = matcher.group(1);
            mDeployment = Deployment.byName(name);
            if (mDeployment.isEmpty()) {
                throw new ScenarioSyntaxException(line, "no such deployment: " + name);
            }
        } else if (matcher.usePattern(INSTANCES).matches()) {
            mInstancesPerDomain = Integer.parseInt(matcher.group(1));
        } else if (matcher.usePattern(WORKSPACE).matches()) {
            addWorkspace(matcher, line);
        } else if (matcher.usePattern(LOAD).matches()) {
            mLoad =
                    Optional.of(
                            new Scenario.Load(
                                    Integer.parseInt(matcher.group(1)),
                                    Integer.parseInt(matcher.group(2)),
                                    Integer.parseInt(matcher.group(3)),
                                    TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(4)))));
        } else if (statement.startsWith(EXPECT_PREFIX)) {
            addExpectation(statement, line);
        } else if (matcher.usePattern(TIMED_ACTION).matches()) {
            mTimeMillis = (long) (Double.parseDouble(matcher.group(1)) * 1_000);
            addAction(matcher.group(2), line);
        } else {
            addAction(statement, line);
        }
    }

    private void addWorkspace(Matcher matcher, int line) throws ScenarioSyntaxException {
        String name = matcher.group(1);
        if (mWorkspaces.stream().anyMatch(each -> each.name().equals(name))) {
            throw new ScenarioSyntaxException(line, "workspace " + name + " stands twice");
        }
        double rate = Double.parseDouble(matcher.group(2));
        double burst = Double.parseDouble(matcher.group(3));
        if (rate <= 0 || burst < 1) {
            throw new ScenarioSyntaxException(line, "rate must be above 0 and burst at least 1");
        }
        mWorkspaces.add(
                new Scenario.Workspace(name, rate, burst, Optional.ofNullable(matcher.group(4))));
    }

    private void addExpectation(String statement, int line) throws ScenarioSyntaxException {
        Matcher matcher = EXPECT_FAILOVER.matcher(statement);
        Scenario.ExpectationKind kind;
        if (statement.equals("expect no broken promise")) {
            mExpectations.add(
                    new Scenario.Expectation(Scenario.ExpectationKind.NO_BROKEN_PROMISE, 0));
            return;
        } else if (matcher.matches()) {
            kind = Scenario.ExpectationKind.FAILOVER_BELOW_SECONDS;
        } else if (matcher.usePattern(EXPECT_REPLICA_SHARE).matches()) {
            kind = Scenario.ExpectationKind.REPLICA_SHARE_ABOVE_PERCENT;
        } else if (matcher.usePattern(EXPECT_WRONGFUL_REFUSALS).matches()) {
            kind = Scenario.ExpectationKind.WRONGFUL_REFUSALS_BELOW_PERCENT;
        } else {
            throw new ScenarioSyntaxException(line, "unknown expectation: " + statement);
        }
        mExpectations.add(new Scenario.Expectation(kind, Double.parseDouble(matcher.group(1))));
    }

    private void addAction(String text, int line) throws ScenarioSyntaxException {
        for (ActionKind kind : ActionKind.values()) {
            Matcher matcher = kind.pattern().matcher(text);
            if (matcher.matches()) {
                List<String> arguments = new ArrayList<>();
                for (int group = 1; group <= matcher.groupCount(); group++) {
                    arguments.add(matcher.group(group));
                }
                mActions.add(new Scenario.TimedAction(mTimeMillis, kind, arguments, line));
                return;
            }
        }
        throw new ScenarioSyntaxException(line, "unknown statement: " + text);
    }

    private static void checkReferences(Scenario scenario, int lastLine)
            throws ScenarioSyntaxException {
        int count = scenario.instances().size();
        if (count < 1 || count > MAX_INSTANCES) {
            throw new ScenarioSyntaxException(
                    lastLine, count + " instances are not between 1 and " + MAX_INSTANCES);
        }
        for (Scenario.Workspace workspace : scenario.workspaces()) {
            if (workspace.instance().filter(i -> !scenario.instances().contains(i)).isPresent()) {
                throw new ScenarioSyntaxException(
                        lastLine, "workspace " + workspace.name() + " names no known instance");
            }
        }
        checkActions(scenario);
        checkHeals(scenario);
    }

    private static void checkActions(Scenario scenario) throws ScenarioSyntaxException {
        long before = 0;
        for (Scenario.TimedAction action : scenario.actions()) {
            if (action.atMillis() < before) {
                throw new ScenarioSyntaxException(action.line(), "the time goes back");
            }
            before = action.atMillis();
            if (before >= scenario.load().millis()) {
                throw new ScenarioSyntaxException(action.line(), "the load has ended by then");
            }
            for (int i = 0; i < action.arguments().size(); i++) {
                checkArgument(
                        scenario,
                        action.kind().arguments().get(i),
                        action.arguments().get(i),
                        action.line());
            }
        }
    }

    private static void checkHeals(Scenario scenario) throws ScenarioSyntaxException {
        Set<String> cuts = new HashSet<>(Set.of("all"));
        for (Scenario.TimedAction action : scenario.actions()) {
            if (action.kind() == ActionKind.HEAL && !cuts.contains(action.arguments().get(0))) {
                throw new ScenarioSyntaxException(
                        action.line(), "nothing was cut as: " + action.arguments().get(0));
            }
            ActiveCuts.nameOf(action).ifPresent(cuts::add);
        }
    }

    private static void checkArgument(
            Scenario scenario, ActionKind.Argument kind, String value, int line)
            throws ScenarioSyntaxException {
        Deployment deployment = scenario.deployment();
        boolean isKnown =
                switch (kind) {
                    case SERVICE -> deployment.services().contains(value);
                    case SERVER ->
                            deployment.services().stream()
                                    .anyMatch(each -> deployment.servers(each).contains(value));
                    case DOMAIN -> deployment.domains().contains(value);
                    case INSTANCE -> scenario.instances().contains(value);
                    case INSTANCES -> scenario.instances().containsAll(List.of(value.split(",")));
                    case KEY ->
                            scenario.workspaces().stream()
                                    .anyMatch(each -> each.keyIds().contains(value));
                    case NUMBER -> value.length() <= 9;
                    case TEXT -> true;
                };
        if (!isKnown) {
            String what = kind.name().toLowerCase(java.util.Locale.ROOT);
            throw new ScenarioSyntaxException(line, "no such " + what + ": " + value);
        }
    }
}
