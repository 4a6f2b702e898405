package org.plantainferry.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.plantainferry.network.log.NetworkEvent;
import org.testng.annotations.Test;

/** Guards against a documented catalogue of log events that differs from the code. */
public class LogEventTest {
    private static final Path CATALOGUE = Path.of("..", "docs", "log-events.md");
    private static final Pattern ROW =
            Pattern.compile("(?m)^\\| (PF\\d{4}) \\| ([A-Z]+) \\| [^|]+ \\| [^|]+ \\|$");

    @Test
    public void catalogueListsEachEventWithItsLevel() throws IOException {
        Matcher matcher = ROW.matcher(Files.readString(CATALOGUE));
        TreeMap<String, String> documented = new TreeMap<>();
        while (matcher.find()) {
            documented.put(matcher.group(1), matcher.group(2));
        }
        TreeMap<String, String> defined = new TreeMap<>();
        for (LogEvent event : LogEvent.values()) {
            assertNull(defined.put(event.code(), event.level()), event.code());
        }
        for (NetworkEvent event : NetworkEvent.values()) {
            assertNull(defined.put(event.code(), event.level()), event.code());
        }
        assertEquals(documented, defined);
    }
}
