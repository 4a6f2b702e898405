package org.plantainferry.daemon.settings;

/**
 * Describes one mistake in a settings file.
 *
 * @param path the path of the property, as {@code tls.certificateFile}
 * @param value its value as JSON text; empty when it is missing
 * @param reason what is wrong
 * @since 0.1
 */
public record SettingsError(String path, String value, String reason) {
    @Override
    public String toString() {
        return value.isEmpty() ? path + ": " + reason : path + " = " + value + ": " + reason;
    }
}
