package org.plantainferry.engine.catalog;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;

/**
 * Computes digests of keys, so that instances compare keys without sending them to each other.
 *
 * @since 0.3
 */
public final class KeyDigest {
    private static final String ALGORITHM = "SHA-256";

    private KeyDigest() {}

    /** Returns the digest of a key as text. */
    public static String of(String key) {
        byte[] digest = newDigest().digest(key.getBytes(StandardCharsets.UTF_8));
        return Base64.getEncoder().encodeToString(digest);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
