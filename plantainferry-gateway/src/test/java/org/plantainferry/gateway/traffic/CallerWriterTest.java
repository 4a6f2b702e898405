package org.plantainferry.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.SessionMode;
import org.testng.annotations.Test;

/**
 * Guards against long answers that are held twice for callers that do not read, and against answers
 * that are cut, changed or out of order because they are sent in pieces.
 */
public final class CallerWriterTest {
    private static final long SEED = 20261207;
    private static final int ROUNDS = 50;
    private static final int MAX_ROW_CHARACTERS = 60_000;
    private static final String[] CHARACTERS = {"a", "\u00e9", "\u2028", "\ud83d\ude00"};

    private static final WireFormat FORMAT =
            (WireFormat)
                    Proxy.newProxyInstance(
                            WireFormat.class.getClassLoader(),
                            new Class<?>[] {WireFormat.class},
                            (proxy, method, arguments) ->
                                    switch (method.getName()) {
                                        case "row" -> "ROW " + arguments[0];
                                        case "done" -> "DONE s";
                                        default -> "READY";
                                    });

    private static String randomRow(Random random) {
        String character = CHARACTERS[random.nextInt(CHARACTERS.length)];
        return "r" + character.repeat(random.nextInt(MAX_ROW_CHARACTERS));
    }

    private static String written(EmbeddedChannel channel) {
        List<byte[]> parts = new ArrayList<>();
        int length = 0;
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            byte[] bytes = new byte[part.readableBytes()];
            part.readBytes(bytes);
            part.release();
            parts.add(bytes);
            length += bytes.length;
        }
        byte[] all = new byte[length];
        int end = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, all, end, part.length);
            end += part.length;
        }
        return new String(all, StandardCharsets.UTF_8);
    }

    @Test
    public void writesRandomAnswersWholeAndInOrder() {
        Random random = new Random(SEED);
        for (int round = 0; round < ROUNDS; round++) {
            EmbeddedChannel channel = new EmbeddedChannel();
            LineCodec.addTo(channel.pipeline());
            CallerWriter writer = new CallerWriter(FORMAT, channel);
            StringBuilder expected = new StringBuilder();
            for (int answer = random.nextInt(4); answer >= 0; answer--) {
                List<String> rows = new ArrayList<>();
                for (int row = random.nextInt(4); row > 0; row--) {
                    rows.add(randomRow(random));
                }
                rows.forEach(row -> expected.append("ROW ").append(row).append("\r\n"));
                expected.append("DONE s\r\nREADY\r\n");
                writer.done(rows, Optional.of("s"), SessionMode.IDLE);
            }
            assertEquals(written(channel), expected.toString(), "seed " + SEED + " " + round);
            assertEquals(writer.unreadBytes(), 0);
            assertTrue(writer.takenBytes() > 0);
        }
    }
}
