package org.plantainferry.api.json;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;

/**
 * Reads and writes JSON with the rules that hold everywhere in plantainferry.
 *
 * <p>Unknown properties, duplicate properties and trailing text are refused. Settings and release
 * notes may have comments; messages between processes may not.
 *
 * @since 0.1
 */
public final class Json {
    private static final int MAX_NESTING_DEPTH = 32;

    private static final ObjectMapper STRICT = createMapper(false);
    private static final ObjectMapper WITH_COMMENTS = createMapper(true);

    private Json() {}

    /** Returns the mapper for messages between processes. */
    public static ObjectMapper strict() {
        return STRICT;
    }

    /** Returns the mapper for files that people write; it accepts comments. */
    public static ObjectMapper withComments() {
        return WITH_COMMENTS;
    }

    /**
     * Writes a value as one line of JSON.
     *
     * @throws PlantainferryException with {@link ErrorCode#INTERNAL} when it has no JSON form
     */
    public static String write(Object value) {
        try {
            return STRICT.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new PlantainferryException(
                    ErrorCode.INTERNAL, "cannot write " + value.getClass() + " as JSON", e);
        }
    }

    /**
     * Reads a value from the JSON text of a message.
     *
     * @throws PlantainferryException with {@code code}, the place and the reason when the text does
     *     not match the type
     */
    public static <T> T read(String text, Class<T> type, ErrorCode code) {
        return read(STRICT, text, type, code);
    }

    /**
     * Reads a value from the text of a file that people write.
     *
     * @throws PlantainferryException as {@link #read}
     */
    public static <T> T readWithComments(String text, Class<T> type, ErrorCode code) {
        return read(WITH_COMMENTS, text, type, code);
    }

    private static <T> T read(ObjectMapper mapper, String text, Class<T> type, ErrorCode code) {
        try {
            T value = mapper.readValue(text, type);
            if (value == null) {
                throw new PlantainferryException(code, "the JSON text is null or empty");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new PlantainferryException(code, describe(e), e);
        }
    }

    /** Says what is wrong with a text, and where. */
    static String describe(JsonProcessingException error) {
        if (error.getCause() instanceof PlantainferryException) {
            return error.getCause().getMessage() + formatLocation(error);
        }
        return error.getOriginalMessage() + formatLocation(error);
    }

    private static String formatLocation(JsonProcessingException error) {
        if (error.getLocation() == null) {
            return "";
        }
        return " (line "
                + error.getLocation().getLineNr()
                + ", column "
                + error.getLocation().getColumnNr()
                + ")";
    }

    private static ObjectMapper createMapper(boolean comments) {
        JsonMapper.Builder builder =
                JsonMapper.builder()
                        .configure(JsonReadFeature.ALLOW_JAVA_COMMENTS, comments)
                        .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                        .visibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
                        .defaultPropertyInclusion(
                                JsonInclude.Value.construct(
                                        JsonInclude.Include.NON_ABSENT, JsonInclude.Include.ALWAYS))
                        .addModule(new Jdk8Module());
        ObjectMapper mapper = builder.build();
        mapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build());
        return mapper;
    }
}
