package org.plantainferry.api.session;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;
import org.testng.annotations.Test;

/** Guards against forged, damaged and misread session tokens. */
public class SessionTokenCodecTest {
    private static final byte[] OLD_SECRET =
            "old-secret-0123456789".getBytes(StandardCharsets.UTF_8);
    private static final byte[] NEW_SECRET =
            "new-secret-0123456789".getBytes(StandardCharsets.UTF_8);
    private static final SessionToken TOKEN =
            new SessionToken(
                    new WorkspaceName("bench"), new ServiceName("ledger"), new LogPosition(3, 41));

    @Test
    public void roundTripsToken() {
        SessionTokenCodec codec = new SessionTokenCodec(List.of(NEW_SECRET));
        assertEquals(codec.decode(codec.encode(TOKEN)), TOKEN);
    }

    @Test
    public void acceptsTokenSignedWithOlderSecret() {
        String text = new SessionTokenCodec(List.of(OLD_SECRET)).encode(TOKEN);
        SessionTokenCodec codec = new SessionTokenCodec(List.of(NEW_SECRET, OLD_SECRET));
        assertEquals(codec.decode(text), TOKEN);
    }

    @Test
    public void rejectsTokenSignedWithUnknownSecret() {
        String text = new SessionTokenCodec(List.of(OLD_SECRET)).encode(TOKEN);
        SessionTokenCodec codec = new SessionTokenCodec(List.of(NEW_SECRET));
        assertThrows(PlantainferryException.class, () -> codec.decode(text));
    }

    @Test
    public void rejectsDamagedTokensWithErrorCode() {
        long seed = 20261204L;
        Random random = new Random(seed);
        SessionTokenCodec codec = new SessionTokenCodec(List.of(NEW_SECRET));
        String text = codec.encode(TOKEN);
        for (int round = 0; round < 2_000; round++) {
            char[] damaged = text.toCharArray();
            // The last character carries unused bits, so changing it may not change the content.
            int place = random.nextInt(damaged.length - 1);
            char replacement = (char) (random.nextInt(94) + 33);
            if (damaged[place] == replacement) {
                continue;
            }
            damaged[place] = replacement;
            PlantainferryException error =
                    expectThrows(
                            PlantainferryException.class, () -> codec.decode(new String(damaged)));
            assertEquals(error.code(), ErrorCode.SESSION_TOKEN_INVALID, "seed " + seed);
        }
    }
}
