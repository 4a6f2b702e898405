package org.plantainferry.cli.log;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Holds one line of a gateway's log.
 *
 * @param time when it was written
 * @param code the number of the event, as {@code PF6302}
 * @param text the event as written, without time and level
 * @param fields its values by name
 * @since 0.2
 */
public record LogLine(OffsetDateTime time, String code, String text, Map<String, String> fields) {
    private static final Pattern LINE =
            Pattern.compile("(\\d{4}-\\d{2}-\\d{2}T\\S+) [A-Z]+ ((PF\\d{4}) .*)");
    private static final Pattern FIELD = Pattern.compile("([a-z-]+)=(?:\"([^\"]*)\"|(\\S+))");

    /** Copies the map. */
    public LogLine {
        fields = Map.copyOf(fields);
    }

    /** Reads a line; empty when it is no event of a gateway. */
    public static Optional<LogLine> parse(String line) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        Map<String, String> fields = new HashMap<>();
        Matcher field = FIELD.matcher(matcher.group(2));
        while (field.find()) {
            String quoted = field.group(2);
            // Quoted values may hold further pairs; the outer ones come first.
            fields.putIfAbsent(field.group(1), quoted == null ? field.group(3) : quoted);
        }
        try {
            OffsetDateTime time = OffsetDateTime.parse(matcher.group(1));
            return Optional.of(new LogLine(time, matcher.group(3), matcher.group(2), fields));
        } catch (DateTimeException e) {
            // Something else that only looks like an event.
            return Optional.empty();
        }
    }

    /** Returns the value of a field; empty when the event has none of that name. */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
