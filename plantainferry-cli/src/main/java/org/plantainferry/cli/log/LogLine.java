package org.plantainferry.cli.log;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Holds one event of a gateway's log.
 *
 * @param time when the event was logged
 * @param code the code of the event, such as {@code PF6302}
 * @param text the event as logged, without time and level
 * @param fields the values of the event by field name
 * @since 0.2
 */
public record LogLine(OffsetDateTime time, String code, String text, Map<String, String> fields) {
    private static final Pattern LINE =
            Pattern.compile("(\\d{4}-\\d{2}-\\d{2}T\\S+) [A-Z]+ ((PF\\d{4}) .*)");
    private static final Pattern FIELD = Pattern.compile("([a-z-]+)=(?:\"([^\"]*)\"|(\\S+))");

    /** Copies the fields. */
    public LogLine {
        fields = Map.copyOf(fields);
    }

    /** Parses a line; empty when it is not an event of a gateway. */
    public static Optional<LogLine> parse(String line) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        Map<String, String> fields = new HashMap<>();
        Matcher field = FIELD.matcher(matcher.group(2));
        while (field.find()) {
            String quoted = field.group(2);
            // Quoted values may contain further pairs, so the first pair of each name is kept.
            fields.putIfAbsent(field.group(1), quoted == null ? field.group(3) : quoted);
        }
        try {
            OffsetDateTime time = OffsetDateTime.parse(matcher.group(1));
            return Optional.of(new LogLine(time, matcher.group(3), matcher.group(2), fields));
        } catch (DateTimeException e) {
            // The line resembles an event but has no valid time, so it is not one.
            return Optional.empty();
        }
    }

    /** Returns the value of a field; empty when the event has none of that name. */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
