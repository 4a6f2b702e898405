package org.plantainferry.gateway.processor;

import static org.testng.Assert.assertEquals;

import java.util.EnumMap;
import java.util.Map;
import org.testng.annotations.Test;

/** Guards against processor time that is counted for the wrong kind of work. */
public final class ThreadTimesTest {
    private static final String FIELDS = " S 1 1 1 0 -1 4194560 9 0 0 0 12 3 0 0 20 0 9 0 99";

    private static Map<ThreadTimes.Work, Long> times(String name) {
        Map<ThreadTimes.Work, Long> times = new EnumMap<>(ThreadTimes.Work.class);
        ThreadTimes.addStatus(times, "17 (" + name + ")" + FIELDS);
        return times;
    }

    @Test
    public void countsUserAndSystemTimeOfAThreadWhoseNameHasBlanksAndParentheses() {
        assertEquals(times("C1 (Compiler) Th"), Map.of(ThreadTimes.Work.COMPILER, 150L));
    }

    @Test
    public void countsEventLoopsAndAllOthersApart() {
        assertEquals(times("control-1-1"), Map.of(ThreadTimes.Work.CONTROL, 150L));
        assertEquals(times("traffic-3-1"), Map.of(ThreadTimes.Work.TRAFFIC, 150L));
        assertEquals(times("XNIO-1 I/O-1"), Map.of(ThreadTimes.Work.OTHER, 150L));
    }
}
