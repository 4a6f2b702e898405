package org.plantainferry.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a daemon that starts with settings it did not understand. */
public class SettingsReaderTest {
    private static final String VALID_SETTINGS =
            """
            { // an instance
              "instance": "como-a-1", "failureDomain": "como-a", "localAddress": "127.0.1.1",
              "callerListener": "127.0.1.1:8080", "peerListener": "127.0.1.1:7070",
              "operatorListener": "127.0.1.1:9090", "store": "127.0.0.1:2379",
              "sessionSecretFiles": ["secret"]
            }
            """;

    private Path mDirectory;

    @BeforeMethod
    public void createDirectory() throws IOException {
        mDirectory = Files.createTempDirectory("settings");
        Files.writeString(mDirectory.resolve("secret"), "0123456789abcdef");
    }

    @Test
    public void readsSettingsWithCommentsAndDefaults() throws IOException {
        DaemonSettings settings = readSettings(VALID_SETTINGS);
        assertEquals(settings.callerListener(), new ListenAddress("127.0.1.1", 8080));
        assertEquals(settings.drainMillis(), 30_000);
        assertEquals(settings.policy(), DaemonSettings.Policy.STANDARD);
    }

    @Test
    public void reportsAllErrorsInOnePassWithPathValueAndReason() {
        String bad =
                """
                {"instance": "Como A", "failureDomain": 7, "localAddress": "127.0.1.1",
                 "callerListener": "127.0.1.1:99999", "peerListener": "127.0.1.1:7070",
                 "operatorListener": "127.0.1.1:9090", "sessionSecretFiles": ["missing"],
                 "drainSeconds": -1, "colour": "red", "tls": {"colour": "x"}}
                """;
        PlantainferryException error =
                expectThrows(PlantainferryException.class, () -> readSettings(bad));
        assertEquals(error.code(), ErrorCode.CONFIGURATION_INVALID);
        String[] expected = {
            "colour = \"red\": no such setting",
            "instance = \"Como A\": ",
            "failureDomain = 7: must be a string",
            "callerListener = \"127.0.1.1:99999\": must be IP:PORT",
            "store: is missing",
            "sessionSecretFiles[0] = \"missing\": is not a readable file",
            "drainSeconds = -1: must be a whole number from 0 to 3600",
            "tls.colour = \"x\": no such setting",
            "tls.certificateFile: is missing"
        };
        for (String each : expected) {
            assertTrue(error.getMessage().contains(each), each + " in " + error.getMessage());
        }
    }

    @Test
    public void rejectsCorruptedSettingsWithConfigurationInvalid() throws IOException {
        long seed = 4021;
        Random random = new Random(seed);
        for (int round = 0; round < 1_000; round++) {
            byte[] bytes = VALID_SETTINGS.getBytes(StandardCharsets.UTF_8);
            for (int change = 0; change < 3; change++) {
                bytes[random.nextInt(bytes.length)] = (byte) (32 + random.nextInt(95));
            }
            try {
                readSettings(new String(bytes, StandardCharsets.UTF_8));
            } catch (PlantainferryException e) {
                assertEquals(e.code(), ErrorCode.CONFIGURATION_INVALID, "seed " + seed);
            }
        }
    }

    private DaemonSettings readSettings(String text) throws IOException {
        Path file = mDirectory.resolve("settings.json");
        Files.writeString(file, text);
        return SettingsReader.read(file);
    }
}
