package org.plantainferry.engine.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.CallerKey;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.ConfigurationParts;
import org.plantainferry.api.configuration.Workspace;
import org.plantainferry.api.json.Json;
import org.testng.annotations.Test;

/** Guards against withdrawn keys that still work and configurations that go back. */
public class KeyDirectoryTest {
    private static final WorkspaceName WORKSPACE = new WorkspaceName("bench");

    @Test
    public void authenticatesKeysDependingOnFreshness() {
        KeyDirectory strict = new KeyDirectory(configuration(1, false, "secret"));
        KeyDirectory lenient = new KeyDirectory(configuration(1, true, "secret"));
        Optional<String> key = Optional.of("secret");
        assertTrue(
                strict.authenticate(key, Freshness.FRESH) instanceof AuthenticationResult.Granted);
        assertTrue(
                strict.authenticate(key, Freshness.OUTAGE) instanceof AuthenticationResult.Granted);
        assertTrue(
                lenient.authenticate(key, Freshness.ISOLATED)
                        instanceof AuthenticationResult.Granted);
        AuthenticationResult.Refused stale =
                (AuthenticationResult.Refused) strict.authenticate(key, Freshness.ISOLATED);
        assertEquals(stale.code(), ErrorCode.CONFIGURATION_STALE);
        assertEquals(stale.verdict(), Verdict.NOT_RUN);
        assertTrue(stale.retryAfterMillis() > 0);
        AuthenticationResult.Refused wrong =
                (AuthenticationResult.Refused)
                        strict.authenticate(Optional.of("x"), Freshness.FRESH);
        assertEquals(wrong.code(), ErrorCode.KEY_INVALID);
    }

    @Test
    public void reportsKeysThatWereRemovedOrHaveAnotherSecret() {
        ConfigurationState state = new ConfigurationState();
        state.offer(configuration(1, false, "first", "second"));
        ConfigurationOutcome.Accepted accepted =
                (ConfigurationOutcome.Accepted) state.offer(configuration(2, false, "other"));
        assertEquals(
                accepted.withdrawnKeys(),
                Set.of(new KeyReference(WORKSPACE, "k0"), new KeyReference(WORKSPACE, "k1")));
        assertTrue(
                new KeyDirectory(state.current())
                                .reauthenticate(new KeyReference(WORKSPACE, "k1"), Freshness.FRESH)
                        instanceof AuthenticationResult.Refused);
    }

    @Test
    public void keepsTheLastValidVersionAndFetchesFromAnotherPeerAfterAFailure() {
        ConfigurationState state = new ConfigurationState();
        state.offer(Json.write(configuration(5, false, "first")));
        assertTrue(state.offer(configuration(4, false)) instanceof ConfigurationOutcome.NotNewer);
        ConfigurationOutcome.Malformed malformed =
                (ConfigurationOutcome.Malformed) state.offer("{\"version\": 6, \"parts\": 1}");
        assertEquals(malformed.claimedVersion(), Optional.of(6L));
        assertTrue(state.offer("{") instanceof ConfigurationOutcome.Malformed);
        assertEquals(state.current().version(), 5);
        InstanceId first = new InstanceId("a");
        InstanceId second = new InstanceId("b");
        state.onPeerVersion(first, 6);
        state.onPeerVersion(second, 7);
        assertEquals(state.nextFetch(0).orElseThrow().peer(), first);
        assertTrue(state.nextFetch(1).isEmpty());
        state.onFetchFailed(first);
        assertEquals(state.nextFetch(2).orElseThrow().peer(), second);
        state.offer(configuration(7, false));
        assertTrue(state.nextFetch(3).isEmpty());
    }

    private static Configuration configuration(long version, boolean isolated, String... keys) {
        List<CallerKey> callerKeys = new ArrayList<>();
        for (String key : keys) {
            callerKeys.add(new CallerKey("k" + callerKeys.size(), CallerKey.hash(key)));
        }
        Workspace workspace =
                new Workspace(
                        WORKSPACE,
                        1,
                        1,
                        Optional.empty(),
                        Optional.of(isolated),
                        List.of(),
                        callerKeys);
        return new Configuration(
                version,
                List.of(),
                new ConfigurationParts(null, null, List.of(workspace), null, null));
    }
}
