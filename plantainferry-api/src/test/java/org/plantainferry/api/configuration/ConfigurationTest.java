package org.plantainferry.api.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.json.Json;
import org.testng.annotations.Test;

/** Guards against release notes that are applied in part, twice, or against the wrong version. */
public class ConfigurationTest {
    private static final String HASH = "ab".repeat(32);
    private static final String FIRST_NOTE =
            """
            { // the first note
              "id": "first", "against": 0,
              "added": {
                "failureDomains": [{"name": "como-a", "shareSlots": 5}],
                "services": [{"name": "ledger", "slots": 3, "connectionLimit": 50, "servers": [
                    {"id": "l1", "address": "127.0.0.1:9001", "failureDomain": "como-a"}]}],
                "workspaces": [{"name": "bench", "ratePerSecond": 100, "burst": 20,
                    "services": ["ledger"], "keys": [{"id": "k1", "sha256": "%s"}]}]
              }
            }
            """
                    .formatted(HASH);

    @Test
    public void appliesAddedChangedAndWithdrawnParts() {
        Configuration first = Configuration.EMPTY.apply(note(FIRST_NOTE));
        Configuration second =
                first.apply(
                        note(
                                """
                                {"id": "second", "against": 1,
                                 "changed": {"workspaces": [{"name": "bench",
                                     "ratePerSecond": 200, "burst": 20, "services": ["ledger"]}]},
                                 "withdrawn": {"keys": [{"workspace": "bench", "id": "k1"}]}}
                                """));
        assertEquals(second.version(), 2);
        assertEquals(second.notes().size(), 2);
        Workspace bench = second.workspace(new WorkspaceName("bench")).orElseThrow();
        assertEquals(bench.ratePerSecond(), 200.0);
        assertTrue(bench.keys().isEmpty());
        assertEquals(second.service(new ServiceName("ledger")).orElseThrow().majoritySize(), 1);
    }

    @Test
    public void rejectsNoteAgainstOldVersion() {
        Configuration first = Configuration.EMPTY.apply(note(FIRST_NOTE));
        PlantainferryException error =
                expectThrows(PlantainferryException.class, () -> first.apply(note(FIRST_NOTE)));
        assertEquals(error.code(), ErrorCode.VERSION_CONFLICT);
        assertTrue(first.includesNote("first"));
        assertFalse(first.includesNote("second"));
    }

    @Test
    public void reportsAllMistakesOfNote() {
        String text =
                """
                {"id": "bad", "against": 0,
                 "added": {"openRoutes": [{"name": "public", "service": "none",
                     "workspace": "nobody", "statementPrefix": "GET "}]},
                 "withdrawn": {}}
                """;
        PlantainferryException error =
                expectThrows(
                        PlantainferryException.class, () -> Configuration.EMPTY.apply(note(text)));
        assertEquals(error.code(), ErrorCode.CONFIGURATION_INVALID);
        assertTrue(error.getMessage().contains("names no known service"), error.getMessage());
        assertTrue(error.getMessage().contains("names no known workspace"), error.getMessage());
    }

    @Test
    public void roundTripsThroughJson() {
        Configuration first = Configuration.EMPTY.apply(note(FIRST_NOTE));
        String text = Json.write(first);
        assertEquals(Json.read(text, Configuration.class, ErrorCode.CONFIGURATION_INVALID), first);
    }

    @Test
    public void rejectsUnknownPropertyByName() {
        PlantainferryException error =
                expectThrows(
                        PlantainferryException.class,
                        () -> note("{\"id\": \"x\", \"against\": 0, \"aded\": {}}"));
        assertTrue(error.getMessage().contains("aded"), error.getMessage());
        assertTrue(error.getMessage().contains("line 1"), error.getMessage());
    }

    private static ReleaseNote note(String text) {
        return Json.readWithComments(text, ReleaseNote.class, ErrorCode.CONFIGURATION_INVALID);
    }
}
