package org.plantainferry.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a message that is split, cut or changed on its way, so that a server runs a
 * statement that no caller sent.
 */
public final class LineCodecTest {
    private static final long SEED = 20261205;
    private static final int ROUNDS = 2_000;
    private static final int MAX_LINE_BYTES = 64;
    private static final String[] PIECES = {
        "a",
        "READ x",
        " ",
        "\r",
        "\n",
        "\n\r",
        "\u0000",
        "\u00e9",
        "\ud83d\ude00",
        "\uFFFD",
        "\u2028"
    };

    private static List<String> decode(EmbeddedChannel channel, byte[] bytes) {
        channel.writeInbound(Unpooled.wrappedBuffer(bytes));
        List<String> lines = new ArrayList<>();
        for (String line = channel.readInbound(); line != null; line = channel.readInbound()) {
            lines.add(line);
        }
        return lines;
    }

    private static EmbeddedChannel channel() {
        return new EmbeddedChannel(new LineCodec.Decoder(MAX_LINE_BYTES));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Provides texts that contain no line end. */
    @DataProvider
    public Object[][] textsOfOneLine() {
        return new Object[][] {
            {"QUERY r1 WRITE note first\nsecond"},
            {"QUERY r2 WRITE other text\nQUERY x1 WRITE stolen goods"},
            {"a\rb"},
            {"a\n\rb"},
            {"\n"},
            {"a\u0000b"},
            {""},
        };
    }

    @Test(dataProvider = "textsOfOneLine")
    public void keepsTextWithoutALineEndInOneLine(String text) {
        assertEquals(decode(channel(), bytes(text + "\r\n")), List.of(text));
    }

    @Test
    public void restoresRandomLinesThatArriveInRandomPieces() {
        Random random = new Random(SEED);
        for (int round = 0; round < ROUNDS; round++) {
            List<String> sent = new ArrayList<>();
            StringBuilder all = new StringBuilder();
            for (int left = random.nextInt(5); left >= 0; left--) {
                String line = randomLine(random);
                sent.add(line);
                all.append(line).append(LineCodec.LINE_END);
            }
            assertEquals(
                    decodeInPieces(bytes(all.toString()), random),
                    sent,
                    "seed " + SEED + ", round " + round);
        }
    }

    private static String randomLine(Random random) {
        StringBuilder line = new StringBuilder();
        for (int left = random.nextInt(7); left > 0; left--) {
            line.append(PIECES[random.nextInt(PIECES.length)]);
        }
        // The last CR of a text would be one with the line end.
        return line.toString().replaceAll("\r+\n", "\n").replaceAll("\r+$", "");
    }

    private static List<String> decodeInPieces(byte[] bytes, Random random) {
        EmbeddedChannel channel = channel();
        List<String> lines = new ArrayList<>();
        int start = 0;
        while (start < bytes.length) {
            int length = 1 + random.nextInt(bytes.length - start);
            byte[] piece = new byte[length];
            System.arraycopy(bytes, start, piece, 0, length);
            lines.addAll(decode(channel, piece));
            start += length;
        }
        return lines;
    }

    @Test
    public void rejectsALineAboveTheLimitBeforeAndAfterItsEnd() {
        String longest = "x".repeat(MAX_LINE_BYTES);
        assertEquals(decode(channel(), bytes(longest + "\r\n")), List.of(longest));
        assertThrows(
                TooLongFrameException.class, () -> decode(channel(), bytes(longest + "x\r\n")));
        assertThrows(TooLongFrameException.class, () -> decode(channel(), bytes(longest + "xx")));
    }

    /** Guards against a caller whose statements fill the memory although it is not read from. */
    @Test
    public void keepsLinesBackWhileTheChannelDoesNotRead() {
        List<Integer> held = new ArrayList<>();
        EmbeddedChannel channel =
                new EmbeddedChannel(new LineCodec.Decoder(MAX_LINE_BYTES, held::add));
        channel.config().setAutoRead(false);
        assertEquals(decode(channel, bytes("a\r\nb\r\nc")), List.of());
        assertEquals(held, List.of(7));
        channel.config().setAutoRead(true);
        LineCodec.emitHeldLines(channel.pipeline());
        assertEquals(List.of(channel.readInbound(), channel.readInbound()), List.of("a", "b"));
        assertEquals(held.get(held.size() - 1), 1);
        assertEquals(decode(channel, bytes("d\r\n")), List.of("cd"));
        assertEquals(held.get(held.size() - 1), 0);
    }

    /** Guards against a caller that goes on to send after its message was refused. */
    @Test
    public void dropsAllThatFollowsALineAboveTheLimit() {
        EmbeddedChannel channel = channel();
        assertThrows(
                TooLongFrameException.class,
                () -> decode(channel, bytes("x".repeat(MAX_LINE_BYTES + 2))));
        assertEquals(decode(channel, bytes("a\r\n" + "x".repeat(MAX_LINE_BYTES * 3))), List.of());
    }

    @Test
    public void rejectsBytesThatAreNotUtf8() {
        for (byte[] malformed : new byte[][] {{(byte) 0xff}, {(byte) 0xc3}, {'a', (byte) 0x80}}) {
            EmbeddedChannel channel = channel();
            decode(channel, malformed);
            assertThrows(CorruptedFrameException.class, () -> decode(channel, bytes("\r\n")));
        }
    }
}
