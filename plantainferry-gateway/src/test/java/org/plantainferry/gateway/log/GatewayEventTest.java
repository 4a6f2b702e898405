package org.plantainferry.gateway.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against events that operators cannot look up. */
public final class GatewayEventTest {
    @Test
    public void eventCodesAreUnique() {
        Set<String> codes = new HashSet<>();
        for (GatewayEvent event : GatewayEvent.values()) {
            codes.add(event.code());
        }
        assertEquals(codes.size(), GatewayEvent.values().length);
    }

    @Test
    public void documentsEachEvent() throws IOException {
        String catalogue = Files.readString(Path.of("../docs/log-events.md"));
        for (GatewayEvent event : GatewayEvent.values()) {
            assertTrue(catalogue.contains("`" + event.code() + "`"), event.code());
        }
    }
}
