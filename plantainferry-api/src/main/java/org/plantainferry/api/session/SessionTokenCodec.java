package org.plantainferry.api.session;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;

/**
 * Encodes session tokens as opaque text with a message authentication code, and decodes them.
 *
 * <p>The first secret signs tokens; all secrets verify them, so that a secret can be rotated
 * without invalidating sessions. This class is thread-safe.
 *
 * @since 0.1
 */
public final class SessionTokenCodec {
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final String FORMAT_VERSION = "1";
    private static final String FIELD_SEPARATOR = "/";
    private static final int MAC_BYTES = 16;
    private static final int SECRET_MIN_BYTES = 16;
    private static final int TOKEN_MAX_LENGTH = 512;
    private static final int FIELD_COUNT = 5;

    private final List<SecretKeySpec> mSecrets;

    /**
     * Creates a codec.
     *
     * @param secrets at least one secret of at least 16 bytes
     */
    public SessionTokenCodec(List<byte[]> secrets) {
        Preconditions.condition(!secrets.isEmpty(), "secrets must not be empty");
        for (byte[] secret : secrets) {
            Preconditions.condition(
                    secret.length >= SECRET_MIN_BYTES, "a secret must have at least 16 bytes");
        }
        mSecrets = secrets.stream().map(bytes -> new SecretKeySpec(bytes, MAC_ALGORITHM)).toList();
    }

    /** Returns the encoded text of a token. */
    public String encode(SessionToken token) {
        String text =
                String.join(
                        FIELD_SEPARATOR,
                        FORMAT_VERSION,
                        token.workspace().value(),
                        token.service().value(),
                        Long.toString(token.seen().term()),
                        Long.toString(token.seen().position()));
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        byte[] mac = computeMac(mSecrets.get(0), body);
        byte[] encoded = Arrays.copyOf(mac, MAC_BYTES + body.length);
        System.arraycopy(body, 0, encoded, MAC_BYTES, body.length);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(encoded);
    }

    /**
     * Decodes the text of a token.
     *
     * @throws PlantainferryException with {@link ErrorCode#SESSION_TOKEN_INVALID} when the text is
     *     malformed or was not signed with one of the secrets
     */
    public SessionToken decode(String text) {
        if (text == null || text.length() > TOKEN_MAX_LENGTH) {
            throw invalidToken("the session token is missing or too long");
        }
        byte[] encoded = decodeBase64(text);
        if (encoded.length <= MAC_BYTES) {
            throw invalidToken("the session token is too short");
        }
        byte[] body = Arrays.copyOfRange(encoded, MAC_BYTES, encoded.length);
        byte[] actualMac = Arrays.copyOf(encoded, MAC_BYTES);
        if (mSecrets.stream()
                .noneMatch(secret -> constantTimeEquals(actualMac, computeMac(secret, body)))) {
            throw invalidToken("the session token fails its integrity check");
        }
        return parse(new String(body, StandardCharsets.UTF_8));
    }

    private static SessionToken parse(String body) {
        String[] fields = body.split(FIELD_SEPARATOR, -1);
        if (fields.length != FIELD_COUNT || !fields[0].equals(FORMAT_VERSION)) {
            throw invalidToken("the session token has an unknown format");
        }
        try {
            return new SessionToken(
                    new WorkspaceName(fields[1]),
                    new ServiceName(fields[2]),
                    new LogPosition(Long.parseLong(fields[3]), Long.parseLong(fields[4])));
        } catch (NumberFormatException | PlantainferryException e) {
            throw new PlantainferryException(
                    ErrorCode.SESSION_TOKEN_INVALID, "the session token has a bad field", e);
        }
    }

    private static byte[] decodeBase64(String text) {
        try {
            return Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new PlantainferryException(
                    ErrorCode.SESSION_TOKEN_INVALID, "the session token is not base64url", e);
        }
    }

    private static boolean constantTimeEquals(byte[] actual, byte[] expected) {
        return MessageDigest.isEqual(actual, expected);
    }

    private static byte[] computeMac(SecretKeySpec secret, byte[] body) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(secret);
            return Arrays.copyOf(mac.doFinal(body), MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new PlantainferryException(
                    ErrorCode.INTERNAL, MAC_ALGORITHM + " is not available", e);
        }
    }

    private static PlantainferryException invalidToken(String message) {
        return new PlantainferryException(ErrorCode.SESSION_TOKEN_INVALID, message);
    }
}
