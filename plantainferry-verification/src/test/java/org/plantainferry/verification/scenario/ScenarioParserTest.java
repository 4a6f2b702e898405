package org.plantainferry.verification.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against scenarios that silently test something else than they say. */
public class ScenarioParserTest {
    private static final List<String> VALID_SCENARIO =
            List.of(
                    "# a comment",
                    "seed 7",
                    "deployment lario",
                    "workspace bench rate 200 burst 50",
                    "load writers 4 readers 8 transactions 2 for 20s",
                    "at 5s  freeze primary ledger-1 # ends later",
                    "at 6.5s cut domain como-a from domain lecco-a",
                    "cut domain como-a from store",
                    "at 9s heal domain como-a from store",
                    "lag ledger-2-b 300ms",
                    "expect no broken promise",
                    "expect failover below 5s");

    @Test
    public void parsesEveryStatement() throws ScenarioSyntaxException {
        Scenario scenario = ScenarioParser.parse(VALID_SCENARIO);
        assertEquals(scenario.seed(), 7);
        assertEquals(scenario.instances().size(), 6);
        assertEquals(scenario.load(), new Scenario.Load(4, 8, 2, 20_000));
        assertEquals(
                scenario.actions().get(2),
                new Scenario.TimedAction(6_500, ActionKind.CUT_STORE, List.of("como-a"), 8));
        assertEquals(scenario.actions().size(), 5);
        assertEquals(
                scenario.expectations().get(1),
                new Scenario.Expectation(Scenario.ExpectationKind.FAILOVER_BELOW_SECONDS, 5));
    }

    @DataProvider
    public Object[][] invalidStatements() {
        return new Object[][] {
            {"at 10s freeze primary ledger-9", "no such service: ledger-9"},
            {"at 10s freeze primry ledger-1", "unknown statement: freeze primry ledger-1"},
            {"at 10s kill instance como-a-3", "no such instance: como-a-3"},
            {"at 10s heal domain como-a from others", "nothing was cut as: domain como-a"},
            {"at 10s withdraw key bench-c", "no such key: bench-c"},
            {"at 8s store outage", "the time goes back"},
            {"at 20s store outage", "the load has ended by then"},
            {"deployment como", "no such deployment: como"},
            {"workspace bench rate 1 burst 1", "workspace bench stands twice"},
            {"workspace low rate 0 burst 1", "rate must be above 0"},
            {"expect something", "unknown expectation: expect something"},
            {"instances 6 per failure domain", "18 instances are not between 1 and 16"}
        };
    }

    @Test(dataProvider = "mistakes")
    public void reportsLineAndReasonOfInvalidStatement(String statement, String reason) {
        List<String> lines = new ArrayList<>(VALID_SCENARIO);
        lines.add(statement);
        ScenarioSyntaxException error =
                expectThrows(ScenarioSyntaxException.class, () -> ScenarioParser.parse(lines));
        String expected = "line 13: " + reason;
        assertEquals(
                error.getMessage()
                        .substring(0, Math.min(expected.length(), error.getMessage().length())),
                expected);
    }

    @Test
    public void reportsMissingStatement() {
        List<String> lines = VALID_SCENARIO.subList(0, 4);
        ScenarioSyntaxException error =
                expectThrows(ScenarioSyntaxException.class, () -> ScenarioParser.parse(lines));
        assertEquals(error.getMessage(), "line 4: the statement \"load\" is missing");
    }

    @Test
    public void parsesAllScenariosOfTheRepository() throws IOException, ScenarioSyntaxException {
        try (Stream<Path> files = Files.list(Path.of("..", "scenarios"))) {
            for (Path file : files.toList()) {
                ScenarioParser.parse(Files.readAllLines(file));
            }
        }
    }
}
