package org.plantainferry.daemon.log;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** Guards against a catalogue of log events that differs from the code. */
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
        TreeMap<String, String> defined =
                Arrays.stream(LogEvent.values())
                        .collect(
                                Collectors.toMap(
                                        LogEvent::code,
                                        LogEvent::level,
                                        (first, second) -> first + " stands twice",
                                        TreeMap::new));
        assertEquals(documented, defined);
    }
}
