package org.plantainferry.api.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;

/**
 * Reads and writes JSON as a tree of nodes, using only the streaming parser.
 *
 * <p>The object mapper of {@link Json} inspects types by reflection, which takes a third of the
 * start-up time of a gateway. Programs that must start quickly use trees instead.
 *
 * @since 0.4
 */
public final class JsonTree {
    private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;
    // Parsing is recursive; deeper values would overflow the small stacks of a gateway's threads.
    private static final int MAX_NESTING_DEPTH = 100;
    private static final int MAX_NUMBER_LENGTH = 1_000;
    private static final StreamReadConstraints CONSTRAINTS =
            StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .maxNumberLength(MAX_NUMBER_LENGTH)
                    .build();
    private static final JsonFactory MESSAGE_FACTORY =
            JsonFactory.builder().streamReadConstraints(CONSTRAINTS).build();
    private static final JsonFactory LISTING_FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            CONSTRAINTS.rebuild().maxNameLength(Integer.MAX_VALUE).build())
                    .enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
                    .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
                    .build();
    private static final JsonFactory FILE_FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(CONSTRAINTS)
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    private JsonTree() {}

    /**
     * Reads the JSON text of a message.
     *
     * @param code the error code for an invalid text
     * @throws PlantainferryException with {@code code} and the reason when the text is not exactly
     *     one JSON value
     */
    public static JsonNode read(String text, ErrorCode code) {
        return read(MESSAGE_FACTORY, text, code);
    }

    /**
     * Reads the JSON text of a message that contains objects of many writers, such that an odd
     * object leaves the others readable.
     *
     * <p>A value that is nested too deeply or a number that is too long is read as null. Control
     * characters in strings and numbers like {@code NaN} are accepted.
     *
     * @throws PlantainferryException as {@link #read}
     */
    public static JsonNode readListing(String text, ErrorCode code) {
        try {
            return parse(LISTING_FACTORY, text, code);
        } catch (StreamConstraintsException e) {
            // Rare, so that only then the text is scanned a second time.
            return read(
                    LISTING_FACTORY,
                    OversizedValues.remove(text, MAX_NESTING_DEPTH, MAX_NUMBER_LENGTH),
                    code);
        } catch (JsonProcessingException e) {
            throw new PlantainferryException(code, Json.describe(e), e);
        }
    }

    /**
     * Reads the text of a file that people write; it may contain comments, but no duplicate
     * properties.
     *
     * @throws PlantainferryException as {@link #read}
     */
    public static JsonNode readWithComments(String text, ErrorCode code) {
        return read(FILE_FACTORY, text, code);
    }

    /** Returns a new, empty object. */
    public static ObjectNode newObject() {
        return NODE_FACTORY.objectNode();
    }

    /** Writes a tree as one line of JSON. */
    public static String write(JsonNode tree) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = MESSAGE_FACTORY.createGenerator(text)) {
            write(generator, tree);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return text.toString();
    }

    private static JsonNode read(JsonFactory factory, String text, ErrorCode code) {
        try {
            return parse(factory, text, code);
        } catch (JsonProcessingException e) {
            throw new PlantainferryException(code, Json.describe(e), e);
        }
    }

    private static JsonNode parse(JsonFactory factory, String text, ErrorCode code)
            throws JsonProcessingException {
        try (JsonParser parser = factory.createParser(text)) {
            if (parser.nextToken() == null) {
                throw new PlantainferryException(code, "the JSON text is empty");
            }
            JsonNode tree = readValue(parser);
            if (parser.nextToken() != null) {
                throw new PlantainferryException(code, "text follows the JSON value");
            }
            return tree;
        } catch (JsonProcessingException e) {
            throw e;
        } catch (IOException e) {
            throw new UncheckedIOException("reading from memory failed", e);
        }
    }

    /** Reads the value that starts at the current token of the parser. */
    private static JsonNode readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> NODE_FACTORY.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> NODE_FACTORY.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODE_FACTORY.booleanNode(true);
            case VALUE_FALSE -> NODE_FACTORY.booleanNode(false);
            default -> NODE_FACTORY.nullNode();
        };
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODE_FACTORY.numberNode(parser.getIntValue());
            case LONG -> NODE_FACTORY.numberNode(parser.getLongValue());
            default -> NODE_FACTORY.numberNode(parser.getBigIntegerValue());
        };
    }

    private static ObjectNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODE_FACTORY.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, readValue(parser));
        }
        return object;
    }

    private static ArrayNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODE_FACTORY.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser));
        }
        return array;
    }

    private static void write(JsonGenerator generator, JsonNode node) throws IOException {
        if (node.isObject()) {
            generator.writeStartObject();
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                generator.writeFieldName(field.getKey());
                write(generator, field.getValue());
            }
            generator.writeEndObject();
        } else if (node.isArray()) {
            generator.writeStartArray();
            for (JsonNode element : node) {
                write(generator, element);
            }
            generator.writeEndArray();
        } else {
            writeScalar(generator, node);
        }
    }

    private static void writeScalar(JsonGenerator generator, JsonNode node) throws IOException {
        if (node.isTextual()) {
            generator.writeString(node.textValue());
        } else if (node.isBoolean()) {
            generator.writeBoolean(node.booleanValue());
        } else if (node.isBigInteger()) {
            generator.writeNumber(node.bigIntegerValue());
        } else if (node.isIntegralNumber()) {
            generator.writeNumber(node.longValue());
        } else if (node.isNumber()) {
            generator.writeNumber(node.doubleValue());
        } else {
            generator.writeNull();
        }
    }
}
