package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against a malformed message that makes an old fact look new. */
public final class AgeCodecTest {
    @Test
    public void decodesPlausibleAges() {
        assertEquals(AgeCodec.decodeNanos(0), 0);
        assertEquals(AgeCodec.decodeNanos(250), 250_000_000L);
    }

    @Test
    public void decodesNegativeAndOverflowingAgesAsMaximum() {
        assertEquals(AgeCodec.decodeNanos(-1), AgeCodec.MAX_AGE_NANOS);
        assertEquals(AgeCodec.decodeNanos(Long.MAX_VALUE), AgeCodec.MAX_AGE_NANOS);
        assertEquals(AgeCodec.decodeNanos(Long.MAX_VALUE / 1_000_000 + 1), AgeCodec.MAX_AGE_NANOS);
    }
}
