package org.plantainferry.daemon.settings;

/**
 * Describes one error in a settings file.
 *
 * @param path the path of the property, for example {@code tls.certificateFile}
 * @param value the value as JSON text; empty when the property is missing
 * @param reason why the value is invalid
 * @since 0.1
 */
public record SettingsError(String path, String value, String reason) {
    @Override
    public String toString() {
        return value.isEmpty() ? path + ": " + reason : path + " = " + value + ": " + reason;
    }
}
