package org.plantainferry.api.json;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.atomic.AtomicReference;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.testng.annotations.Test;

/** Tests {@link JsonTree}. */
public final class JsonTreeTest {
    private static final String EVERY_KIND =
            "{\"text\":\"a\\\"b\",\"whole\":-7,\"long\":9007199254740993,"
                    + "\"big\":18446744073709551616,\"part\":0.25,\"yes\":true,"
                    + "\"no\":false,\"none\":null,\"list\":[1,[],{}]}";

    @Test
    public void writesWhatItHasRead() {
        JsonNode tree = JsonTree.read(EVERY_KIND, ErrorCode.INTERNAL);

        assertEquals(JsonTree.write(tree), EVERY_KIND);
    }

    @Test
    public void readsTheSameTreeAsTheMapper() throws Exception {
        JsonNode tree = JsonTree.read(EVERY_KIND, ErrorCode.INTERNAL);

        assertEquals(tree, Json.strict().readTree(EVERY_KIND));
    }

    @Test
    public void acceptsCommentsInFilesOnly() {
        String text = "// a comment\n{\"a\": 1}";

        assertEquals(JsonTree.readWithComments(text, ErrorCode.INTERNAL).path("a").asInt(), 1);
        assertFails(() -> JsonTree.read(text, ErrorCode.INTERNAL));
    }

    @Test
    public void refusesAPropertyThatStandsTwiceInAFile() {
        String text = "{\"a\": 1, \"a\": 2}";

        assertFails(() -> JsonTree.readWithComments(text, ErrorCode.INTERNAL));
    }

    @Test
    public void refusesTextThatIsNotOneValue() {
        for (String text : new String[] {"", " ", "{", "[1,", "{\"a\"}", "1 2", "{}]", "nul"}) {
            assertFails(() -> JsonTree.read(text, ErrorCode.INTERNAL));
        }
    }

    @Test
    public void saysWhereAMistakeIs() {
        PlantainferryException failure =
                expectThrows(
                        PlantainferryException.class,
                        () -> JsonTree.readWithComments("{\n\"a\" 1}", ErrorCode.INTERNAL));

        assertTrue(failure.getMessage().contains("line 2"), failure.getMessage());
    }

    @Test
    public void refusesEndlessNestingOnASmallStack() throws InterruptedException {
        String text = "[".repeat(100_000);
        AtomicReference<Throwable> met = new AtomicReference<>();
        Thread reader =
                new Thread(
                        null,
                        () -> {
                            try {
                                JsonTree.read(text, ErrorCode.INTERNAL);
                            } catch (Throwable e) {
                                // Whatever it is, the assertion below judges it.
                                met.set(e);
                            }
                        },
                        "small stack",
                        256 * 1024);
        reader.start();
        reader.join();

        assertTrue(met.get() instanceof PlantainferryException, String.valueOf(met.get()));
    }

    private static void assertFails(Runnable reading) {
        PlantainferryException failure = expectThrows(PlantainferryException.class, reading::run);
        assertEquals(failure.code(), ErrorCode.INTERNAL);
    }
}
