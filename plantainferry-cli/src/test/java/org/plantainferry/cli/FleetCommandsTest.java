package org.plantainferry.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.plantainferry.cli.InMemoryStore.Fault;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against commands that call a fleet ready too early, or leave an order in doubt. */
public class FleetCommandsTest {
    private InMemoryStore mStore;
    private CommandLineTester mOperator;

    @BeforeMethod
    public void start() {
        mStore = new InMemoryStore();
        mOperator = new CommandLineTester(mStore);
        mOperator.list("i1", "live");
        mOperator.list("i2", "live");
        mOperator.answer("i1", 5);
    }

    /** Guards against an end of the wait before the last instance, and silence until then. */
    @Test
    public void waitsForEveryInstance() {
        mOperator.answer("i2", 4);
        mOperator.onSleep(() -> mOperator.answer("i2", 6));
        assertEquals(mOperator.run("wait", "--version", "5"), 0);
        assertTrue(
                mOperator.err().contains("1 of 2 instances; waiting for i2 (version 4)"),
                mOperator.err());
    }

    /** Guards against a wait that never ends, and an end that does not name its reason. */
    @Test
    public void waitEndsAtItsTimeout() {
        assertEquals(mOperator.run("wait", "--version", "5", "--timeout", "3"), 3);
        assertTrue(mOperator.err().contains("i2 (not reachable)"), mOperator.err());
        mOperator.answer("i2", 4);
        assertEquals(mOperator.run("wait", "--version", "5", "--timeout", "3"), 1);
        mStore.failReadsWhen(() -> true);
        assertEquals(mOperator.run("wait", "--version", "5", "--timeout", "3"), 3);
    }

    /** Guards against a wait for an instance that has ended, and a list that has not yet begun. */
    @Test
    public void waitLeavesOutEndedInstances() {
        mOperator.answer("i2", 5);
        mOperator.list("i3", "leaving");
        assertEquals(mOperator.run("wait", "--version", "5"), 0);
        CommandLineTester empty = new CommandLineTester(new InMemoryStore());
        assertEquals(empty.run("wait", "--version", "5", "--timeout", "1"), 3);
    }

    /** Guards against instances that are missing from the status when they do not answer. */
    @Test
    public void statusShowsUnreachableInstances() {
        assertEquals(mOperator.run("status"), 0);
        assertTrue(mOperator.out().contains("not reachable"), mOperator.out());
        assertTrue(mOperator.out().contains("on 1 of 2"), mOperator.out());
        assertEquals(mOperator.run("status", "--instance", "operator-of-i1"), 0);
        assertTrue(mOperator.out().contains("i1 is live with version 5"), mOperator.out());
        assertEquals(mOperator.run("status", "--instance", "operator-of-i2"), 3);
    }

    /** Guards against settings that the daemon would refuse but the check accepts. */
    @Test
    public void checkNamesTheMistakesOfSettings() throws IOException {
        Path directory = Files.createTempDirectory("settings");
        Path settings = directory.resolve("settings.json");
        Files.writeString(settings, "{\"instance\": \"i1\", \"colour\": 1}");
        assertEquals(mOperator.run("check", settings.toString()), 2);
        assertTrue(mOperator.err().contains("colour = 1: no such setting"), mOperator.err());
        assertTrue(mOperator.err().contains("store: is missing"), mOperator.err());
        Files.writeString(directory.resolve("session.secret"), "0123456789abcdef");
        Files.copy(
                Path.of("..", "examples", "plantainferryd.json"),
                settings,
                StandardCopyOption.REPLACE_EXISTING);
        assertEquals(mOperator.run("check", settings.toString()), 0);
    }

    /** Guards against orders for instances that do not exist, and orders in doubt. */
    @Test
    public void ordersDrainOnce() {
        assertEquals(mOperator.run("drain", "i9"), 1);
        mStore.failNextWrites(Fault.ANSWER_LOST);
        assertEquals(mOperator.run("drain", "i1", "--output", "json"), 0);
        assertEquals(mOperator.json().at("/changed").asText(), "yes");
        assertEquals(mStore.value("drains/i1").orElseThrow(), "{\"instance\":\"i1\"}");
        assertEquals(mOperator.run("drain", "i1", "--output", "json"), 0);
        assertEquals(mOperator.json().at("/changed").asText(), "no");
        mStore.failNextWrites(Fault.REFUSED);
        assertEquals(mOperator.run("drain", "i2"), 3);
    }

    /** Guards against a history whose versions do not match its notes. */
    @Test
    public void historyNumbersNotes() {
        mOperator.run("apply", CommandLineTester.note("n1", 0, "counter"));
        mOperator.run("apply", CommandLineTester.note("n2", 1, "bench"));
        assertEquals(mOperator.run("history"), 0);
        assertTrue(mOperator.out().startsWith("version 1: n1\nversion 2: n2\n"), mOperator.out());
        mStore.failReadsWhen(() -> true);
        assertEquals(mOperator.run("history"), 3);
    }

    /** Guards against mistakes in the command line that end with another code, or without help. */
    @Test
    public void refusesBadUsage() {
        String[][] lines = {
            {},
            {"paint"},
            {"key"},
            {"key", "give", "counter"},
            {"key", "give", "A B", "k"},
            {"wait"},
            {"wait", "--version", "0"},
            {"drain"},
            {"apply"},
            {"status", "--output", "xml"}
        };
        for (String[] line : lines) {
            assertEquals(mOperator.run(line), 2, String.join(" ", line));
            assertTrue(mOperator.err().contains("Nothing was changed"), mOperator.err());
            assertTrue(mOperator.err().contains("Next:"), mOperator.err());
        }
    }

    /** Guards against commands without an example in their help. */
    @Test
    public void helpHasExamples() {
        String[][] lines = {
            {"--help"},
            {"apply", "--help"},
            {"status", "--help"},
            {"wait", "--help"},
            {"key", "give", "--help"},
            {"key", "withdraw", "--help"},
            {"history", "--help"},
            {"drain", "--help"},
            {"key", "--help"}
        };
        for (String[] line : lines) {
            assertEquals(mOperator.run(line), 0, String.join(" ", line));
            assertTrue(mOperator.out().contains("plantainferry --"), mOperator.out());
        }
    }
}
