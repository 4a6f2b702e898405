package org.plantainferry.gateway.feed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.catalog.GroupSettings;
import org.plantainferry.engine.catalog.PlainKeys;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.catalog.RoutingConfiguration;
import org.plantainferry.engine.catalog.WorkspaceLimit;
import org.testng.annotations.Test;

/** Guards against keys that leave an instance, and against a configuration that changes its way. */
public final class ConfigurationCodecTest {
    private static final RoutingConfiguration CONFIGURATION =
            new RoutingConfiguration(
                    7,
                    Map.of(
                            "db",
                            new DatabaseRoute(
                                    "db", "s", ReadGuarantee.SESSION, 2_500, 800, 250, 2, true)),
                    Map.of("s", new GroupSettings(47, 1)),
                    new PlainKeys(Map.of("secret-key", "w")),
                    Map.of("w", new WorkspaceLimit(95.5, 90)),
                    3_000);

    private final ConfigurationCodec mCodec = new ConfigurationCodec();

    @Test
    public void passesOnAllButTheKeysThemselves() throws Exception {
        RoutingConfiguration decoded = mCodec.decode("main", mCodec.encode(CONFIGURATION));
        assertEquals(decoded.version(), 7);
        assertEquals(decoded.routes(), CONFIGURATION.routes());
        assertEquals(decoded.groups(), CONFIGURATION.groups());
        assertEquals(decoded.limits(), CONFIGURATION.limits());
        assertEquals(decoded.transactionIdleMillis(), 3_000);
    }

    @Test
    public void sendsNoKey() {
        assertFalse(mCodec.encode(CONFIGURATION).toStringUtf8().contains("secret-key"));
    }

    @Test
    public void findsTheWorkspaceOfAKeyAlsoAfterASecondInstancePassedItOn() throws Exception {
        RoutingConfiguration first = mCodec.decode("main", mCodec.encode(CONFIGURATION));
        RoutingConfiguration second = mCodec.decode("main", mCodec.encode(first));
        assertEquals(second.workspaceOf("secret-key"), Optional.of("w"));
        assertEquals(second.workspaceOf("another-key"), Optional.empty());
    }

    @Test
    public void refusesBytesThatAreNoConfiguration() {
        ByteString bytes = ByteString.copyFromUtf8("garbage");
        assertThrows(InvalidProtocolBufferException.class, () -> mCodec.decode("main", bytes));
    }
}
