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
 * Writes session tokens as opaque text with an integrity check, and reads them back.
 *
 * <p>The first secret signs; all secrets verify, so that a secret can be replaced without breaking
 * sessions. Instances of this class are safe for use by several threads.
 *
 * @since 0.1
 */
public final class SessionTokenCodec {
    private static final String ALGORITHM = "HmacSHA256";
    private static final String FORMAT = "1";
    private static final String SEPARATOR = "/";
    private static final int CHECK_BYTES = 16;
    private static final int SECRET_MIN_BYTES = 16;
    private static final int TOKEN_MAX_LENGTH = 512;
    private static final int FIELDS = 5;

    private final List<SecretKeySpec> mSecrets;

    /**
     * Creates a codec.
     *
     * @param secrets at least one secret of 16 bytes or more
     */
    public SessionTokenCodec(List<byte[]> secrets) {
        Preconditions.condition(!secrets.isEmpty(), "secrets must not be empty");
        for (byte[] secret : secrets) {
            Preconditions.condition(
                    secret.length >= SECRET_MIN_BYTES, "a secret must have 16 bytes or more");
        }
        mSecrets = secrets.stream().map(bytes -> new SecretKeySpec(bytes, ALGORITHM)).toList();
    }

    /** Returns the text of a token. */
    public String encode(SessionToken token) {
        String text =
                String.join(
                        SEPARATOR,
                        FORMAT,
                        token.workspace().value(),
                        token.service().value(),
                        Long.toString(token.seen().term()),
                        Long.toString(token.seen().position()));
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        byte[] check = check(mSecrets.get(0), body);
        byte[] whole = Arrays.copyOf(check, CHECK_BYTES + body.length);
        System.arraycopy(body, 0, whole, CHECK_BYTES, body.length);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(whole);
    }

    /**
     * Reads the text of a token.
     *
     * @throws PlantainferryException with {@link ErrorCode#SESSION_TOKEN_INVALID} when the text is
     *     damaged or was not written with one of the secrets
     */
    public SessionToken decode(String text) {
        if (text == null || text.length() > TOKEN_MAX_LENGTH) {
            throw invalid("the session token is missing or too long");
        }
        byte[] whole = decodeBase64(text);
        if (whole.length <= CHECK_BYTES) {
            throw invalid("the session token is too short");
        }
        byte[] body = Arrays.copyOfRange(whole, CHECK_BYTES, whole.length);
        byte[] given = Arrays.copyOf(whole, CHECK_BYTES);
        if (mSecrets.stream().noneMatch(secret -> isEqual(given, check(secret, body)))) {
            throw invalid("the session token fails its integrity check");
        }
        return parse(new String(body, StandardCharsets.UTF_8));
    }

    private static SessionToken parse(String body) {
        String[] fields = body.split(SEPARATOR, -1);
        if (fields.length != FIELDS || !fields[0].equals(FORMAT)) {
            throw invalid("the session token has an unknown format");
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

    private static boolean isEqual(byte[] given, byte[] expected) {
        return MessageDigest.isEqual(given, expected);
    }

    private static byte[] check(SecretKeySpec secret, byte[] body) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(secret);
            return Arrays.copyOf(mac.doFinal(body), CHECK_BYTES);
        } catch (GeneralSecurityException e) {
            throw new PlantainferryException(
                    ErrorCode.INTERNAL, ALGORITHM + " is not available", e);
        }
    }

    private static PlantainferryException invalid(String message) {
        return new PlantainferryException(ErrorCode.SESSION_TOKEN_INVALID, message);
    }
}
