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
    private CommandLineTester mTester;

    @BeforeMethod
    public void setUp() {
        mStore = new InMemoryStore();
        mTester = new CommandLineTester(mStore);
        mTester.addListedInstance("i1", "live");
        mTester.addListedInstance("i2", "live");
        mTester.setVersion("i1", 5);
    }

    /** Guards against an end of the wait before the last instance, and silence until then. */
    @Test
    public void waitsForEveryInstance() {
        mTester.setVersion("i2", 4);
        mTester.setSleepAction(() -> mTester.setVersion("i2", 6));
        assertEquals(mTester.run("wait", "--version", "5"), 0);
        assertTrue(
                mTester.err().contains("1 of 2 instances; waiting for i2 (version 4)"),
                mTester.err());
    }

    /** Guards against a wait that never ends, and an end that does not name its reason. */
    @Test
    public void waitEndsAtTimeout() {
        assertEquals(mTester.run("wait", "--version", "5", "--timeout", "3"), 3);
        assertTrue(mTester.err().contains("i2 (not reachable)"), mTester.err());
        mTester.setVersion("i2", 4);
        assertEquals(mTester.run("wait", "--version", "5", "--timeout", "3"), 1);
        mStore.failReadsWhen(() -> true);
        assertEquals(mTester.run("wait", "--version", "5", "--timeout", "3"), 3);
    }

    /** Guards against a wait for an instance that has ended, and a list that has not yet begun. */
    @Test
    public void waitIgnoresEndedInstances() {
        mTester.setVersion("i2", 5);
        mTester.addListedInstance("i3", "leaving");
        assertEquals(mTester.run("wait", "--version", "5"), 0);
        CommandLineTester empty = new CommandLineTester(new InMemoryStore());
        assertEquals(empty.run("wait", "--version", "5", "--timeout", "1"), 3);
    }

    /** Guards against instances that are missing from the status when they do not answer. */
    @Test
    public void statusShowsUnreachableInstances() {
        assertEquals(mTester.run("status"), 0);
        assertTrue(mTester.out().contains("not reachable"), mTester.out());
        assertTrue(mTester.out().contains("on 1 of 2"), mTester.out());
        assertEquals(mTester.run("status", "--instance", "operator-of-i1"), 0);
        assertTrue(mTester.out().contains("i1 is live with version 5"), mTester.out());
        assertEquals(mTester.run("status", "--instance", "operator-of-i2"), 3);
    }

    /** Guards against settings that the daemon would refuse but the check accepts. */
    @Test
    public void checkReportsInvalidSettings() throws IOException {
        Path directory = Files.createTempDirectory("settings");
        Path settings = directory.resolve("settings.json");
        Files.writeString(settings, "{\"instance\": \"i1\", \"colour\": 1}");
        assertEquals(mTester.run("check", settings.toString()), 2);
        assertTrue(mTester.err().contains("colour = 1: no such setting"), mTester.err());
        assertTrue(mTester.err().contains("store: is missing"), mTester.err());
        Files.writeString(directory.resolve("session.secret"), "0123456789abcdef");
        Files.copy(
                Path.of("..", "examples", "plantainferryd.json"),
                settings,
                StandardCopyOption.REPLACE_EXISTING);
        assertEquals(mTester.run("check", settings.toString()), 0);
    }

    /** Guards against orders for instances that do not exist, and orders in doubt. */
    @Test
    public void writesDrainOrderOnce() {
        assertEquals(mTester.run("drain", "i9"), 1);
        mStore.failNextWrites(Fault.ANSWER_LOST);
        assertEquals(mTester.run("drain", "i1", "--output", "json"), 0);
        assertEquals(mTester.json().at("/changed").asText(), "yes");
        assertEquals(mStore.value("drains/i1").orElseThrow(), "{\"instance\":\"i1\"}");
        assertEquals(mTester.run("drain", "i1", "--output", "json"), 0);
        assertEquals(mTester.json().at("/changed").asText(), "no");
        mStore.failNextWrites(Fault.REFUSED);
        assertEquals(mTester.run("drain", "i2"), 3);
    }

    /** Guards against a history whose versions do not match its notes. */
    @Test
    public void historyNumbersNotes() {
        mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter"));
        mTester.run("apply", CommandLineTester.writeNote("n2", 1, "bench"));
        assertEquals(mTester.run("history"), 0);
        assertTrue(mTester.out().startsWith("version 1: n1\nversion 2: n2\n"), mTester.out());
        mStore.failReadsWhen(() -> true);
        assertEquals(mTester.run("history"), 3);
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
            assertEquals(mTester.run(line), 2, String.join(" ", line));
            assertTrue(mTester.err().contains("Nothing was changed"), mTester.err());
            assertTrue(mTester.err().contains("Next:"), mTester.err());
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
            assertEquals(mTester.run(line), 0, String.join(" ", line));
            assertTrue(mTester.out().contains("plantainferry --"), mTester.out());
        }
    }
}
