import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles, booleans and nulls. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text.replace('\'', '"'));
    }

    private char next() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            mAt++;
            while (next() != '}') {
                String key = string();
                next();
                mAt++;
                map.put(key, value());
                if (next() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            mAt++;
            while (next() != ']') {
                list.add(value());
                if (next() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return list;
        }
        if (first == '"') {
            return string();
        }
        int start = mAt;
        while (mAt < mText.length() && ",]} \t\r\n".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        switch (word) {
            case "true":
                return Boolean.TRUE;
            case "false":
                return Boolean.FALSE;
            case "null":
                return null;
            default:
                return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        }
    }

    private String string() {
        next();
        mAt++;
        StringBuilder text = new StringBuilder();
        while (mText.charAt(mAt) != '"') {
            char unit = mText.charAt(mAt++);
            if (unit == '\\') {
                char escaped = mText.charAt(mAt++);
                switch (escaped) {
                    case 'n' -> text.append('\n');
                    case 'r' -> text.append('\r');
                    case 't' -> text.append('\t');
                    case 'u' -> {
                        text.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                        mAt += 4;
                    }
                    default -> text.append(escaped);
                }
            } else {
                text.append(unit);
            }
        }
        mAt++;
        return text.toString();
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder text = new StringBuilder("{");
            map.forEach(
                    (key, each) ->
                            text.append(text.length() > 1 ? "," : "")
                                    .append(write(key))
                                    .append(':')
                                    .append(write(each)));
            return text.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder text = new StringBuilder("[");
            list.forEach(each -> text.append(text.length() > 1 ? "," : "").append(write(each)));
            return text.append(']').toString();
        }
        if (value instanceof String string) {
            return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
        return String.valueOf(value);
    }
}
