package org.plantainferry.daemon.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.session.SessionTokenCodec;

/**
 * Reads the secrets that sign session tokens.
 *
 * @since 0.1
 */
public final class SessionSecrets {
    private SessionSecrets() {}

    /**
     * Reads the secrets from files; white space around a secret does not count.
     *
     * @throws PlantainferryException with {@link ErrorCode#CONFIGURATION_INVALID}; the message
     *     names the file and never its content
     */
    public static SessionTokenCodec readCodec(List<Path> files) {
        List<byte[]> secrets = new ArrayList<>();
        for (Path file : files) {
            try {
                secrets.add(Files.readString(file).strip().getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                throw new PlantainferryException(
                        ErrorCode.CONFIGURATION_INVALID, "cannot read " + file, e);
            }
        }
        try {
            return new SessionTokenCodec(secrets);
        } catch (PlantainferryException e) {
            throw new PlantainferryException(
                    ErrorCode.CONFIGURATION_INVALID, "sessionSecretFiles: " + e.getMessage(), e);
        }
    }
}
