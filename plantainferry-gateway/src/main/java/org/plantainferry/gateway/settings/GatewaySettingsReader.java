package org.plantainferry.gateway.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.json.Json;

/**
 * Reads settings files, which are JSON with comments.
 *
 * @since 0.2
 */
public final class GatewaySettingsReader {
    private GatewaySettingsReader() {}

    /**
     * Reads a file.
     *
     * @throws PlantainferryException with {@link ErrorCode#CONFIGURATION_INVALID} when the file
     *     cannot be read or has mistakes
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
     * Reads the text of a settings file.
     *
     * @throws PlantainferryException as {@link #read}
     */
    public static GatewaySettings parse(String text) {
        return Json.readWithComments(text, GatewaySettings.class, ErrorCode.CONFIGURATION_INVALID);
    }
}
