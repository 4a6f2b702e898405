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
    private static final String ALL_VALUE_TYPES =
            "{\"text\":\"a\\\"b\",\"whole\":-7,\"long\":9007199254740993,"
                    + "\"big\":18446744073709551616,\"part\":0.25,\"yes\":true,"
                    + "\"no\":false,\"none\":null,\"list\":[1,[],{}]}";

    @Test
    public void roundTripsAllValueTypes() {
        JsonNode tree = JsonTree.read(ALL_VALUE_TYPES, ErrorCode.INTERNAL);

        assertEquals(JsonTree.write(tree), ALL_VALUE_TYPES);
    }

    @Test
    public void readsSameTreeAsObjectMapper() throws Exception {
        JsonNode tree = JsonTree.read(ALL_VALUE_TYPES, ErrorCode.INTERNAL);

        assertEquals(tree, Json.strict().readTree(ALL_VALUE_TYPES));
    }

    @Test
    public void acceptsCommentsInFilesOnly() {
        String text = "// a comment\n{\"a\": 1}";

        assertEquals(JsonTree.readWithComments(text, ErrorCode.INTERNAL).path("a").asInt(), 1);
        assertFails(() -> JsonTree.read(text, ErrorCode.INTERNAL));
    }

    @Test
    public void rejectsDuplicatePropertyInFile() {
        String text = "{\"a\": 1, \"a\": 2}";

        assertFails(() -> JsonTree.readWithComments(text, ErrorCode.INTERNAL));
    }

    @Test
    public void rejectsTextThatIsNotOneValue() {
        for (String text : new String[] {"", " ", "{", "[1,", "{\"a\"}", "1 2", "{}]", "nul"}) {
            assertFails(() -> JsonTree.read(text, ErrorCode.INTERNAL));
        }
    }

    @Test
    public void reportsLocationOfError() {
        PlantainferryException failure =
                expectThrows(
                        PlantainferryException.class,
                        () -> JsonTree.readWithComments("{\n\"a\" 1}", ErrorCode.INTERNAL));

        assertTrue(failure.getMessage().contains("line 2"), failure.getMessage());
    }

    @Test
    public void rejectsDeepNestingOnSmallStack() throws InterruptedException {
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
