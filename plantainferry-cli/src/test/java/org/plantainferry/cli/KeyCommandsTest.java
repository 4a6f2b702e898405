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
    private CommandLineTester mOperator;

    @BeforeMethod
    public void start() {
        mStore = new InMemoryStore();
        mOperator = new CommandLineTester(mStore);
        mOperator.run("apply", CommandLineTester.note("n1", 0, "counter"));
    }

    /** Guards against weak keys, and against the key itself in the store. */
    @Test
    public void storesOnlyTheHash() {
        assertEquals(mOperator.run("key", "give", "counter", "k1", "--output", "json"), 0);
        String key = mOperator.json().at("/data/key").asText();
        assertEquals(Base64.getUrlDecoder().decode(key).length, 32);
        assertEquals(storedHash(), CallerKey.hash(key));
        assertFalse(mStore.value(CurrentConfiguration.PATH).orElseThrow().contains(key));
        assertEquals(mOperator.run("key", "give", "counter", "k1"), 1);
        assertFalse(mOperator.out().contains("shown only now"));
    }

    /** Guards against a withdrawal that is reported although the key still works. */
    @Test
    public void withdrawsOnlyAKeyThatExists() {
        mOperator.run("key", "give", "counter", "k1");
        assertEquals(mOperator.run("key", "withdraw", "counter", "k2"), 1);
        assertTrue(mOperator.err().contains("has no key k2"), mOperator.err());
        assertEquals(mOperator.run("key", "withdraw", "counter", "k1"), 0);
        assertTrue(keys().isEmpty());
        assertEquals(mOperator.run("key", "withdraw", "counter", "k1"), 1);
    }

    /** Guards against a key command that fails because of an unrelated note. */
    @Test
    public void survivesRaceWithAnotherNote() {
        mStore.beforeNextWrite(
                () ->
                        new CommandLineTester(mStore)
                                .run("apply", CommandLineTester.note("n2", 1, "bench")));
        assertEquals(mOperator.run("key", "give", "counter", "k1"), 0);
        assertEquals(mOperator.configuration().version(), 3);
    }

    /** Guards against a second key, or a key that was never shown, after a lost answer. */
    @Test
    public void lostAnswerGivesOneKey() {
        mStore.failNextWrites(Fault.ANSWER_LOST);
        assertEquals(mOperator.run("key", "give", "counter", "k1", "--output", "json"), 0);
        assertEquals(storedHash(), CallerKey.hash(mOperator.json().at("/data/key").asText()));
        mStore.failNextWrites(Fault.ANSWER_LOST);
        mOperator.onSleep(() -> mStore.failReadsWhen(() -> true));
        assertEquals(mOperator.run("key", "give", "counter", "k2"), 4);
        assertTrue(mOperator.err().contains("key withdraw counter k2"), mOperator.err());
        assertFalse((mOperator.out() + mOperator.err()).contains("shown only now"));
    }

    private List<CallerKey> keys() {
        return mOperator
                .configuration()
                .workspace(new WorkspaceName("counter"))
                .orElseThrow()
                .keys();
    }

    private String storedHash() {
        return keys().get(0).sha256();
    }
}
