package org.plantainferry.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a release note whose mistakes show only after it is in force. */
public final class CheckCommandTest {
    private static final String SOUND_NOTE =
            """
            {"id": "n1", "against": 0, "added": {
              "failureDomains": [{"name": "como", "shareSlots": 2}],
              "services": [{"name": "ledger", "slots": 2, "connectionLimit": 8, "servers": [
                {"id": "s1", "address": "10.0.0.1:1", "failureDomain": "como"}]}],
              "workspaces": [{"name": "bench", "ratePerSecond": 10, "burst": 5,
                "services": ["ledger"]}],
              "openRoutes": [{"name": "news", "service": "ledger", "workspace": "bench",
                "statementPrefix": "READ"}]}}
            """;
    private static final String CONTRADICTING_NOTE =
            """
            {"id": "n1", "against": 0, "added": {
              "failureDomains": [{"name": "como", "shareSlots": 12}],
              "services": [
                {"name": "ledger", "slots": 2, "connectionLimit": 8, "servers": [
                  {"id": "s1", "address": "10.0.0.1:1", "failureDomain": "como"}]},
                {"name": "spare", "slots": 2, "connectionLimit": 20, "servers": [
                  {"id": "s2", "address": "10.0.0.1:1", "failureDomain": "como"}]}],
              "workspaces": [
                {"name": "bench", "ratePerSecond": 10, "burst": 5, "services": ["ledger"]}]}}
            """;

    private InMemoryStore mStore;
    private CommandLineTester mTester;

    @BeforeMethod
    public void setUp() {
        mStore = new InMemoryStore();
        mTester = new CommandLineTester(mStore);
    }

    private int check(String note) {
        return mTester.run("check", "--note", CommandLineTester.writeFile(note));
    }

    @Test
    public void showsDifferencesOfSoundNoteAndChangesNothing() {
        assertEquals(check(SOUND_NOTE), 0, mTester.err());
        assertTrue(mTester.out().contains("+ workspace bench"), mTester.out());
        assertTrue(mTester.out().contains("Findings in that version: 0."), mTester.out());
        assertFalse(mTester.out().contains("! "), mTester.out());
        assertEquals(mStore.writeCount(), 0);
    }

    @Test
    public void findsPartsThatNeverMatchAndLimitsThatContradict() {
        assertEquals(check(CONTRADICTING_NOTE), 0, mTester.err());
        String out = mTester.out();
        assertTrue(out.contains("! workspace bench can never be used"), out);
        assertTrue(out.contains("! workspace bench has a burst of 5.0"), out);
        assertTrue(out.contains("! service ledger has a connectionLimit of 8"), out);
        assertTrue(out.contains("! service spare can never be used"), out);
        assertTrue(out.contains("! server s2 can never be reached"), out);
        assertTrue(out.contains("Findings in that version: 5."), out);
    }

    @Test
    public void refusesWhatApplyWouldRefuse() {
        String unknownService = SOUND_NOTE.replace("[\"ledger\"]", "[\"ledgers\"]");
        assertEquals(check(unknownService), 1);
        assertTrue(mTester.err().contains("refers to unknown service ledgers"), mTester.err());
        assertEquals(check(SOUND_NOTE.replace("\"against\": 0", "\"against\": 7")), 1);
        assertEquals(check("{\"id\": \"n1\", \"colour\": 1}"), 2);
    }

    @Test
    public void tellsThatTheStoreDoesNotAnswer() {
        mStore.failReadsWhen(() -> true);
        assertEquals(check(SOUND_NOTE), 3, mTester.err());
    }

    @Test
    public void needsEitherSettingsOrNote() {
        assertEquals(mTester.run("check"), 2);
        String note = CommandLineTester.writeFile(SOUND_NOTE);
        assertEquals(mTester.run("check", note, "--note", note), 2);
    }
}
