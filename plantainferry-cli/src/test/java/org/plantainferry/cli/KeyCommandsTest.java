package org.plantainferry.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Base64;
import java.util.List;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.CallerKey;
import org.plantainferry.cli.InMemoryStore.Fault;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against keys that leak, that nobody knows, or that stay in force unnoticed. */
public class KeyCommandsTest {
    private InMemoryStore mStore;
    private CommandLineTester mTester;

    @BeforeMethod
    public void setUp() {
        mStore = new InMemoryStore();
        mTester = new CommandLineTester(mStore);
        mTester.run("apply", CommandLineTester.writeNote("n1", 0, "counter"));
    }

    /** Guards against weak keys, and against the key itself in the store. */
    @Test
    public void storesOnlyTheHash() {
        assertEquals(mTester.run("key", "give", "counter", "k1", "--output", "json"), 0);
        String key = mTester.json().at("/data/key").asText();
        assertEquals(Base64.getUrlDecoder().decode(key).length, 32);
        assertEquals(storedHash(), CallerKey.hash(key));
        assertFalse(mStore.value(CurrentConfiguration.PATH).orElseThrow().contains(key));
        assertEquals(mTester.run("key", "give", "counter", "k1"), 1);
        assertFalse(mTester.out().contains("shown only now"));
    }

    /** Guards against a withdrawal that is reported although the key still works. */
    @Test
    public void withdrawsOnlyExistingKey() {
        mTester.run("key", "give", "counter", "k1");
        assertEquals(mTester.run("key", "withdraw", "counter", "k2"), 1);
        assertTrue(mTester.err().contains("has no key k2"), mTester.err());
        assertEquals(mTester.run("key", "withdraw", "counter", "k1"), 0);
        assertTrue(keys().isEmpty());
        assertEquals(mTester.run("key", "withdraw", "counter", "k1"), 1);
    }

    /** Guards against a key command that fails because of an unrelated note. */
    @Test
    public void succeedsAfterConcurrentNote() {
        mStore.beforeNextWrite(
                () ->
                        new CommandLineTester(mStore)
                                .run("apply", CommandLineTester.writeNote("n2", 1, "bench")));
        assertEquals(mTester.run("key", "give", "counter", "k1"), 0);
        assertEquals(mTester.configuration().version(), 3);
    }

    /** Guards against a second key, or a key that was never shown, after a lost answer. */
    @Test
    public void createsOneKeyAfterLostAnswer() {
        mStore.failNextWrites(Fault.ANSWER_LOST);
        assertEquals(mTester.run("key", "give", "counter", "k1", "--output", "json"), 0);
        assertEquals(storedHash(), CallerKey.hash(mTester.json().at("/data/key").asText()));
        mStore.failNextWrites(Fault.ANSWER_LOST);
        mTester.setSleepAction(() -> mStore.failReadsWhen(() -> true));
        assertEquals(mTester.run("key", "give", "counter", "k2"), 4);
        assertTrue(mTester.err().contains("key withdraw counter k2"), mTester.err());
        assertFalse((mTester.out() + mTester.err()).contains("shown only now"));
    }

    private List<CallerKey> keys() {
        return mTester.configuration().workspace(new WorkspaceName("counter")).orElseThrow().keys();
    }

    private String storedHash() {
        return keys().get(0).sha256();
    }
}
