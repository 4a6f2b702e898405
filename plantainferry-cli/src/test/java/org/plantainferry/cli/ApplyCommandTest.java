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

/** Guards against notes that are applied twice, half, or otherwise than the exit code says. */
public class ApplyCommandTest {
    private InMemoryStore mStore;
    private CommandLineTester mTester;

    @BeforeMethod
    public void setUp() {
        mStore = new InMemoryStore();
        mTester = new CommandLineTester(mStore);
    }

    /** Guards against a change that is not what the difference showed. */
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

    /** Guards against a difference that hides what changes inside a part. */
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

    /** Guards against a repeated note that fails or changes something again. */
    @Test
    public void repeatedNoteIsAlreadyApplied() {
        String note = CommandLineTester.writeNote("n1", 0, "counter");
        mTester.run("apply", note);
        mTester.run("apply", CommandLineTester.writeNote("n2", 1, "bench"));
        assertEquals(mTester.run("apply", note), 0);
        assertTrue(mTester.out().contains("already applied, as version 1"), mTester.out());
        assertEquals(mStore.writeCount(), 2);
    }

    /** Guards against "already applied" for a new note that was given an old identifier. */
    @Test
    public void refusesIdentifierOfAnotherNote() {
        mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter"));
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n1", 1, "bench")), 1);
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n1", 0, "bench")), 1);
        assertTrue(mTester.err().contains("Nothing was changed"), mTester.err());
        assertEquals(mStore.writeCount(), 1);
    }

    /** Guards against a note that reverts what was applied after it was written. */
    @Test
    public void refusesNoteAgainstOldVersion() {
        mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter"));
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n2", 0, "bench")), 1);
        assertTrue(mTester.err().contains("version 1 is in force"), mTester.err());
        assertTrue(mTester.err().contains("Nothing was changed"), mTester.err());
        assertEquals(mStore.writeCount(), 1);
    }

    /** Guards against mistakes in files without their place. */
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
        String misfit = "{\"id\":\"n1\",\"against\":0,\"withdrawn\":{\"services\":[\"ledger\"]}}";
        assertEquals(mTester.run("apply", CommandLineTester.writeFile(misfit)), 1);
        assertTrue(mTester.err().contains("service ledger does not exist"), mTester.err());
    }

    /** Guards against an unreadable configuration that is overwritten as if there were none. */
    @Test
    public void neverReplacesUnreadableConfiguration() {
        mStore.put(CurrentConfiguration.PATH, "{", WriteCondition.ABSENT);
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter")), 1);
        assertEquals(mStore.value(CurrentConfiguration.PATH).orElseThrow(), "{");
    }

    /** Guards against exit codes that promise more than is known after lost answers. */
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

    /** Guards against a lost race that is not told from a success after a lost answer. */
    @Test
    public void delayedWriteAfterConcurrentNoteIsConflict() {
        mStore.failNextWrites(Fault.DELAYED);
        CommandLineTester other = new CommandLineTester(mStore);
        mTester.setSleepAction(
                () -> {
                    other.run("apply", CommandLineTester.writeNote("n2", 0, "bench"));
                    mStore.deliverDelayedWrites();
                });
        assertEquals(mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter")), 1);
        assertEquals(mTester.configuration().notes(), List.of("n2"));
    }

    /** Guards against "nothing was changed" while a change may still arrive. */
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

    /** Lists whether two operators apply the same note or two notes. */
    @DataProvider
    public Object[][] races() {
        return new Object[][] {{true}, {false}};
    }

    /** Guards against two operators of whom both, or neither, are told that they succeeded. */
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
                int failed = 0;
                for (Future<Integer> run : executor.invokeAll(runs)) {
                    failed += run.get();
                }
                assertEquals(failed, sameNote ? 0 : 1);
                assertEquals(mTester.configuration().version(), round + 1);
            }
            assertEquals(mStore.writeCount(), 50);
        } finally {
            executor.shutdown();
        }
    }

    /** Guards against exit codes that do not match the store, under any order of faults. */
    @Test
    public void exitCodesMatchStoreUnderRandomFaults() {
        long seed = new Random().nextLong();
        Reporter.log("seed " + seed, true);
        Random random = new Random(seed);
        Map<String, Integer> codes = new HashMap<>();
        for (int round = 0; round < 400; round++) {
            Fault[] faults = new Fault[random.nextInt(14)];
            for (int i = 0; i < faults.length; i++) {
                faults[i] = Fault.values()[random.nextInt(Fault.values().length)];
            }
            mStore.failNextWrites(faults);
            mStore.failReadsWhen(() -> random.nextInt(4) == 0);
            CommandLineTester other = new CommandLineTester(mStore);
            mTester.setSleepAction(
                    () -> {
                        if (random.nextInt(3) == 0) {
                            mStore.deliverDelayedWrites();
                        }
                        if (random.nextInt(8) == 0) {
                            String name = "other" + random.nextInt(Integer.MAX_VALUE);
                            long version = mTester.configuration().version();
                            other.run("apply", CommandLineTester.writeNote(name, version, name));
                        }
                    });
            String name = "note" + round;
            long version = mTester.configuration().version();
            codes.put(name, mTester.run("apply", CommandLineTester.writeNote(name, version, name)));
            mStore.deliverDelayedWrites();
        }
        Configuration last = mTester.configuration();
        assertEquals(last.version(), mStore.writeCount());
        for (Map.Entry<String, Integer> each : codes.entrySet()) {
            boolean applied =
                    last.parts().workspaces().stream()
                            .anyMatch(w -> w.name().value().equals(each.getKey()));
            int code = each.getValue();
            assertTrue(code == 4 || applied == (code == 0), "seed " + seed + " " + each);
        }
        assertTrue(codes.containsValue(0) && codes.containsValue(1) && codes.containsValue(3));
        assertFalse(codes.containsValue(2));
    }
}
