package org.plantainferry.gateway.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.plantainferry.api.PlantainferryException;
import org.testng.annotations.Test;

/**
 * Verifies that {@link GatewaySettingsReader} rejects invalid settings, so that no gateway starts
 * with them.
 */
public final class GatewaySettingsReaderTest {
    private static final String VALID_SETTINGS =
            "// A comment.\n"
                    + "{'instance':'a','failureDomain':'z','localAddress':'127.0.0.1',"
                    + "'callerListener':'127.0.0.1:1','operatorListener':'127.0.0.1:2',"
                    + "'peerPort':3,'storeAddress':'127.0.0.1:4','ordersAddress':'127.0.0.1:5',"
                    + "'drainMillis':6000,"
                    + "'serverDrainMillis':7000,'platformFencesPrimaries':true,"
                    + "'configurationMillis':3000,"
                    + "'keyWithdrawalMillis':5000,'rateWindowMillis':5000,"
                    + "'rateExcess':0.1,'rateSlack':20}";

    private static GatewaySettings parse(String text) {
        return GatewaySettingsReader.parse(text.replace('\'', '"'));
    }

    @Test
    public void readsSettingsWithComments() {
        assertEquals(parse(VALID_SETTINGS).peerPort(), 3);
        assertEquals(parse(VALID_SETTINGS).rateExcess(), 0.1);
    }

    private static ResourceSettings resources(String settings) {
        return parse(VALID_SETTINGS.replace("{'instance'", "{" + settings + ",'instance'"))
                .resources();
    }

    /** Guards against an instance that does not start because it is told nothing of its machine. */
    @Test
    public void derivesLimitsForCallersFromWhatItIsToldOfTheMachine() {
        long megabyte = 1024 * 1024;
        ResourceSettings none = parse(VALID_SETTINGS).resources();
        assertEquals(none.callerMemoryBytes(112 * megabyte), 28 * megabyte);
        assertEquals(none.sessionLimit(1_024), 618);
        assertEquals(none.sessionLimit(100), 64);
        ResourceSettings small =
                resources("'machineMemoryMegabytes':160.5,'maxFileDescriptors':2167");
        assertEquals(small.callerMemoryBytes(112 * megabyte), 20 * megabyte);
        assertEquals(small.sessionLimit(1_024), 1_473);
        assertEquals(resources("'machineMemoryMegabytes':0,'maxFileDescriptors':0"), none);
        ResourceSettings chosen = resources("'callerMemoryMegabytes':5,'maxSessions':70");
        assertEquals(chosen.callerMemoryBytes(112 * megabyte), 5 * megabyte);
        assertEquals(chosen.sessionLimit(1_024), 70);
        assertThrows(PlantainferryException.class, () -> resources("'maxSessions':0"));
    }

    @Test
    public void refusesAMissingSetting() {
        assertThrows(
                PlantainferryException.class,
                () -> parse(VALID_SETTINGS.replace("'peerPort':3,", "")));
    }

    @Test
    public void refusesAnUnknownSetting() {
        assertThrows(
                PlantainferryException.class,
                () -> parse(VALID_SETTINGS.replace("{'instance'", "{'instanc':1,'instance'")));
    }

    @Test
    public void refusesAPortOutOfRange() {
        assertThrows(
                PlantainferryException.class,
                () -> parse(VALID_SETTINGS.replace("'peerPort':3", "'peerPort':70000")));
    }

    @Test
    public void refusesValuesOfAnotherType() {
        for (String invalid :
                new String[] {
                    VALID_SETTINGS.replace("'peerPort':3", "'peerPort':'3'"),
                    VALID_SETTINGS.replace("'peerPort':3", "'peerPort':3.5"),
                    VALID_SETTINGS.replace("'drainMillis':6000", "'drainMillis':null"),
                    VALID_SETTINGS.replace("'instance':'a'", "'instance':7"),
                    VALID_SETTINGS.replace(
                            "'platformFencesPrimaries':true", "'platformFencesPrimaries':1"),
                    VALID_SETTINGS.replace("'rateExcess':0.1", "'rateExcess':'much'"),
                    "[]",
                    "",
                    "{"
                }) {
            assertThrows(PlantainferryException.class, () -> parse(invalid));
        }
    }
}
