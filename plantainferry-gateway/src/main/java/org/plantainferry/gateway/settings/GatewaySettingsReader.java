package org.plantainferry.gateway.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.json.JsonTree;

/**
 * Reads settings files, which contain JSON with comments.
 *
 * <p>Reads the JSON tree instead of binding to objects, which keeps the startup of a gateway short
 * (see {@link JsonTree}).
 *
 * @since 0.2
 */
public final class GatewaySettingsReader {
    private final JsonNode mFile;
    private final Set<String> mReadNames = new HashSet<>();

    private GatewaySettingsReader(JsonNode file) {
        mFile = file;
    }

    /**
     * Reads a settings file.
     *
     * @throws PlantainferryException with {@link ErrorCode#CONFIGURATION_INVALID} when the file
     *     cannot be read or is invalid
     */
    public static GatewaySettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new PlantainferryException(
                    ErrorCode.CONFIGURATION_INVALID, "cannot read " + file + ": " + e, e);
        }
    }

    /**
     * Parses the text of a settings file.
     *
     * @throws PlantainferryException with {@link ErrorCode#CONFIGURATION_INVALID} when the text is
     *     invalid
     */
    public static GatewaySettings parse(String text) {
        JsonNode file = JsonTree.readWithComments(text, ErrorCode.CONFIGURATION_INVALID);
        if (!file.isObject()) {
            throw invalid("the settings must be a single JSON object");
        }
        return new GatewaySettingsReader(file).settings();
    }

    private GatewaySettings settings() {
        GatewaySettings settings =
                new GatewaySettings(
                        text("instance"),
                        text("failureDomain"),
                        text("localAddress"),
                        text("callerListener"),
                        text("operatorListener"),
                        port("peerPort"),
                        text("storeAddress"),
                        text("ordersAddress"),
                        wholeNumber("drainMillis"),
                        wholeNumber("serverDrainMillis"),
                        bool("platformFencesPrimaries"),
                        wholeNumber("configurationMillis"),
                        wholeNumber("keyWithdrawalMillis"),
                        wholeNumber("rateWindowMillis"),
                        number("rateExcess"),
                        number("rateSlack"),
                        optionalWholeNumber("evacuationMillis"),
                        experimental(),
                        resources());
        rejectUnknown();
        return settings;
    }

    private Optional<Long> optionalWholeNumber(String name) {
        mReadNames.add(name);
        return mFile.has(name) ? Optional.of(wholeNumber(name)) : Optional.empty();
    }

    private String optionalText(String name, String fallback) {
        mReadNames.add(name);
        return mFile.has(name) ? text(name) : fallback;
    }

    private ExperimentalSettings experimental() {
        mReadNames.add("experimental");
        JsonNode section = mFile.get("experimental");
        if (section == null) {
            return ExperimentalSettings.NONE;
        }
        if (!section.isObject()) {
            throw invalid("experimental must be an object");
        }
        GatewaySettingsReader reader = new GatewaySettingsReader(section);
        ExperimentalSettings none = ExperimentalSettings.NONE;
        ExperimentalSettings settings =
                new ExperimentalSettings(
                        reader.optionalText("storeFollowing", none.storeFollowing()),
                        reader.optionalText("serverRoom", none.serverRoom()),
                        reader.optionalText("statementHosts", none.statementHosts()));
        reader.rejectUnknown();
        return settings;
    }

    /** Returns a limit of the machine, of which 0 says that there is none. */
    private Optional<Long> optionalLimit(String name) {
        mReadNames.add(name);
        return mFile.has(name)
                ? Optional.of((long) number(name)).filter(limit -> limit != 0)
                : Optional.empty();
    }

    private ResourceSettings resources() {
        return new ResourceSettings(
                optionalLimit("machineMemoryMegabytes"),
                optionalLimit("maxFileDescriptors"),
                optionalWholeNumber("callerMemoryMegabytes"),
                optionalWholeNumber("maxSessions"));
    }

    private JsonNode requiredValue(String name) {
        mReadNames.add(name);
        JsonNode value = mFile.get(name);
        if (value == null || value.isNull()) {
            throw invalid(name + " is missing");
        }
        return value;
    }

    private String text(String name) {
        JsonNode value = requiredValue(name);
        if (!value.isTextual()) {
            throw invalid(name + " must be a string");
        }
        return value.textValue();
    }

    private int port(String name) {
        JsonNode value = requiredValue(name);
        if (!value.canConvertToInt() || !value.isIntegralNumber()) {
            throw invalid(name + " must be a port number");
        }
        return value.intValue();
    }

    private long wholeNumber(String name) {
        JsonNode value = requiredValue(name);
        if (!value.canConvertToLong() || !value.isIntegralNumber()) {
            throw invalid(name + " must be an integer");
        }
        return value.longValue();
    }

    private boolean bool(String name) {
        JsonNode value = requiredValue(name);
        if (!value.isBoolean()) {
            throw invalid(name + " must be true or false");
        }
        return value.booleanValue();
    }

    private double number(String name) {
        JsonNode value = requiredValue(name);
        if (!value.isNumber()) {
            throw invalid(name + " must be a number");
        }
        return value.doubleValue();
    }

    private void rejectUnknown() {
        for (Iterator<String> names = mFile.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!mReadNames.contains(name)) {
                throw invalid(name + " is not a known setting");
            }
        }
    }

    private static PlantainferryException invalid(String reason) {
        return new PlantainferryException(ErrorCode.CONFIGURATION_INVALID, reason);
    }
}
