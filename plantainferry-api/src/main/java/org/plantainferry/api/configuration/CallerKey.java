package org.plantainferry.api.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;

/**
 * Describes a caller's key by its hash; the key itself is never stored.
 *
 * <p>Keys are 256-bit random values, so a plain SHA-256 resists guessing without a slow hash.
 *
 * @param id the name under which operators give and withdraw the key
 * @param sha256 the SHA-256 of the key, 64 lower-case hexadecimal digits
 * @since 0.1
 */
public record CallerKey(String id, String sha256) {
    private static final Pattern SHA_256_HEX_PATTERN = Pattern.compile("[0-9a-f]{64}");

    /** Checks both fields. */
    public CallerKey {
        Preconditions.validName(id, "key id");
        Preconditions.condition(
                sha256 != null && SHA_256_HEX_PATTERN.matcher(sha256).matches(),
                "sha256 of key " + id + " must have 64 lower-case hexadecimal digits");
    }

    /** Returns the hash under which a presented key is looked up. */
    public static String hash(String key) {
        Preconditions.notNull(key, "key");
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new PlantainferryException(ErrorCode.INTERNAL, "SHA-256 is not available", e);
        }
    }
}
