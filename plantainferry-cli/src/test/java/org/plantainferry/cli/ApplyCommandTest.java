package org.plantainferry.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.cli.InMemoryStore.Fault;
import org.plantainferry.network.store.WriteCondition;
import org.testng.Reporter;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against notes that are applied twice or in part, and against wrong exit codes. */
public class ApplyCommandTest {
    private InMemoryStore mStore;
    private CommandLineTester mTester;

    @BeforeMethod
    public void setUp() {
        mStore = new InMemoryStore();
        mTester = new CommandLineTester(mStore);
    }

    /** Guards against a change that differs from the one that the dry run showed. */
    @Test
    public void appliesWhatTheDryRunShows() {
        String note = CommandLineTester.writeNote("n1", 0, "counter");
        assertEquals(mTester.run("apply", note, "--dry-run"), 0);
        assertTrue(mTester.out().contains("+ workspace counter"), mTester.out());
        assertEquals(mStore.writeCount(), 0);
        assertEquals(mTester.run("apply", note, "--output", "json"), 0);
        assertEquals(mTester.json().at("/changed").asText(), "yes");
        assertEquals(mTester.json().at("/data/differences/0/name").asText(), "counter");
        assertEquals(mTester.configuration().version(), 1);
    }

    /** Guards against a difference that does not show the changed fields of a part. */
    @Test
    public void showsChangedFields() {
        mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter"));
        String change =
                "{\"id\":\"n2\",\"against\":1,\"changed\":{\"workspaces\":[{\"name\":\"counter\","
                        + "\"ratePerSecond\":20,\"burst\":5,\"weight\":2}]}}";
        mTester.run("apply", CommandLineTester.writeFile(change));
        assertTrue(
                mTester.out()
                        .contains(
                                "~ workspace counter ratePerSecond: 10.0 -> 20.0,"
                                        + " weight: none -> 2.0"),
                mTester.out());
    }

    /** Guards against a repeated note that fails or is applied again. */
    @Test
    public void repeatedNoteIsAlreadyApplied() {
        String note = CommandLineTester.writeNote("n1", 0, "counter");
        mTester.run("apply", note);
        mTester.run("apply", CommandLineTester.writeNote("n2", 1, "bench"));
        assertEquals(mTester.run("apply", note), 0);
        assertTrue(mTester.out().contains("already applied, as version 1"), mTester.out());
        assertEquals(mStore.writeCount(), 2);
    }

    /** Guards against reporting a different note with a used identifier as already applied. */
    @Test
    public void refusesIdentifierOfAnotherNote() {
        mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter"));
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n1", 1, "bench")), 1);
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n1", 0, "bench")), 1);
        assertTrue(mTester.err().contains("Nothing was changed"), mTester.err());
        assertEquals(mStore.writeCount(), 1);
    }

    /** Guards against a note that reverts notes applied after it was written. */
    @Test
    public void refusesNoteAgainstOldVersion() {
        mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter"));
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n2", 0, "bench")), 1);
        assertTrue(mTester.err().contains("version 1 is in force"), mTester.err());
        assertTrue(mTester.err().contains("Nothing was changed"), mTester.err());
        assertEquals(mStore.writeCount(), 1);
    }

    /** Guards against error messages that do not name the file and the line of the mistake. */
    @Test
    public void reportsFileAndLineOfMistake() {
        String[] files = {
            CommandLineTester.writeFile("{\n \"id\":\"n1\",\n \"agianst\":0}"),
            CommandLineTester.writeFile("{"),
            "/absent"
        };
        for (String file : files) {
            assertEquals(mTester.run("apply", file), 2);
            assertTrue(mTester.err().contains(file), mTester.err());
        }
        mTester.run("apply", files[0]);
        assertTrue(mTester.err().contains("line 3"), mTester.err());
        String invalidNote =
                "{\"id\":\"n1\",\"against\":0,\"withdrawn\":{\"services\":[\"ledger\"]}}";
        assertEquals(mTester.run("apply", CommandLineTester.writeFile(invalidNote)), 1);
        assertTrue(mTester.err().contains("service ledger does not exist"), mTester.err());
    }

    /** Guards against overwriting an unreadable configuration as if there were none. */
    @Test
    public void neverReplacesUnreadableConfiguration() {
        mStore.put(CurrentConfiguration.PATH, "{", WriteCondition.ABSENT);
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter")), 1);
        assertEquals(mStore.value(CurrentConfiguration.PATH).orElseThrow(), "{");
    }

    /** Guards against a wrong exit code, or a second write, after the answer to a write is lost. */
    @Test
    public void appliesOnceAfterLostAnswer() {
        long version = 0;
        for (Fault fault : new Fault[] {Fault.ANSWER_LOST, Fault.REQUEST_LOST, Fault.DELAYED}) {
            mStore.failNextWrites(fault);
            mTester.setSleepAction(mStore::deliverDelayedWrites);
            String note = CommandLineTester.writeNote("n" + version, version, "w" + version);
            assertEquals(mTester.run("apply", note), 0, fault.toString());
            version++;
            assertEquals(mTester.configuration().version(), version);
        }
        assertEquals(mStore.writeCount(), 3);
    }

    /**
     * Guards against reporting success for a delayed write that arrives after the note of another
     * operator and therefore fails.
     */
    @Test
    public void delayedWriteAfterConcurrentNoteIsConflict() {
        mStore.failNextWrites(Fault.DELAYED);
        CommandLineTester otherTester = new CommandLineTester(mStore);
        mTester.setSleepAction(
                () -> {
                    otherTester.run("apply", CommandLineTester.writeNote("n2", 0, "bench"));
                    mStore.deliverDelayedWrites();
                });
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter")), 1);
        assertEquals(mTester.configuration().notes(), List.of("n2"));
    }

    /** Guards against reporting that nothing was changed while a write may still arrive. */
    @Test
    public void outcomeIsUnknownWhenStoreStaysUnavailable() {
        String note = CommandLineTester.writeNote("n1", 0, "counter");
        mStore.failNextWrites(Fault.DELAYED);
        mTester.setSleepAction(() -> mStore.failReadsWhen(() -> true));
        assertEquals(mTester.run("apply", note, "--output", "json"), 4);
        assertEquals(mTester.json().at("/changed").asText(), "unknown");
        assertEquals(mTester.run("apply", note), 3);
        assertTrue(mTester.err().contains("Nothing was changed"), mTester.err());
        mStore.failReadsWhen(() -> false);
        mStore.failNextWrites(Fault.REFUSED);
        assertEquals(mTester.run("apply", note), 3);
    }

    /** Provides whether two operators apply the same note or different ones. */
    @DataProvider
    public Object[][] races() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * Guards against reporting both or neither of two concurrent notes as applied, and against
     * failure of an operator when both apply the same note.
     */
    @Test(dataProvider = "races")
    public void appliesOneOfTwoConcurrentNotes(boolean sameNote) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(2);
        try {
            for (int round = 0; round < 50; round++) {
                String first = CommandLineTester.writeNote("a" + round, round, "a" + round);
                String second =
                        sameNote
                                ? first
                                : CommandLineTester.writeNote("b" + round, round, "b" + round);
                List<Callable<Integer>> runs = new ArrayList<>();
                for (String note : new String[] {first, second}) {
                    runs.add(() -> new CommandLineTester(mStore).run("apply", note));
                }
                int failures = 0;
                for (Future<Integer> run : executor.invokeAll(runs)) {
                    failures += run.get();
                }
                assertEquals(failures, sameNote ? 0 : 1);
                assertEquals(mTester.configuration().version(), round + 1);
            }
            assertEquals(mStore.writeCount(), 50);
        } finally {
            executor.shutdown();
        }
    }

    /** Guards against exit codes that do not match the store, in any sequence of faults. */
    @Test
    public void exitCodesMatchStoreUnderRandomFaults() {
        long seed = new Random().nextLong();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        Map<String, Integer> exitCodes = new HashMap<>();
        for (int round = 0; round < 400; round++) {
            Fault[] faults = new Fault[random.nextInt(14)];
            for (int i = 0; i < faults.length; i++) {
                faults[i] = Fault.values()[random.nextInt(Fault.values().length)];
            }
            mStore.failNextWrites(faults);
            mStore.failReadsWhen(() -> random.nextInt(4) == 0);
            CommandLineTester otherTester = new CommandLineTester(mStore);
            mTester.setSleepAction(
                    () -> {
                        if (random.nextInt(3) == 0) {
                            mStore.deliverDelayedWrites();
                        }
                        if (random.nextInt(8) == 0) {
                            String name = "other" + random.nextInt(Integer.MAX_VALUE);
                            long version = mTester.configuration().version();
                            otherTester.run(
                                    "apply", CommandLineTester.writeNote(name, version, name));
                        }
                    });
            String name = "note" + round;
            long version = mTester.configuration().version();
            exitCodes.put(
                    name, mTester.run("apply", CommandLineTester.writeNote(name, version, name)));
            mStore.deliverDelayedWrites();
        }
        Configuration last = mTester.configuration();
        assertEquals(last.version(), mStore.writeCount());
        for (Map.Entry<String, Integer> entry : exitCodes.entrySet()) {
            boolean applied =
                    last.parts().workspaces().stream()
                            .anyMatch(workspace -> workspace.name().value().equals(entry.getKey()));
            int exitCode = entry.getValue();
            assertTrue(exitCode == 4 || applied == (exitCode == 0), "seed " + seed + " " + entry);
        }
        assertTrue(
                exitCodes.containsValue(0)
                        && exitCodes.containsValue(1)
                        && exitCodes.containsValue(3));
        assertFalse(exitCodes.containsValue(2));
    }
}
