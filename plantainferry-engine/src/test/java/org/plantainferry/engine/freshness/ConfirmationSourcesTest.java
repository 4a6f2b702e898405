package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against every instance asking the store, and against one that nobody asks for. */
public final class ConfirmationSourcesTest {
    private static final long NOW = 7_000_000_000L;
    private static final long LATER = NOW + 5_000_000_000L;

    private static Map<String, String> failureDomains(int instances) {
        Map<String, String> domains = new HashMap<>();
        for (int index = 0; index < instances; index++) {
            domains.put("i" + index, "d" + index % 3);
        }
        return domains;
    }

    private static ConfirmationSources sources(String instance, Map<String, String> fleet) {
        ConfirmationSources sources = new ConfirmationSources(instance, fleet.get(instance));
        Map<String, String> others = new HashMap<>(fleet);
        others.remove(instance);
        sources.onInstances(others);
        return sources;
    }

    @Test
    public void oneInstancePerFailureDomainAsksStore() {
        Map<String, String> fleet = failureDomains(139);
        Set<String> asking = new HashSet<>();
        Set<String> asked = new HashSet<>();
        for (String instance : fleet.keySet()) {
            Optional<String> source = sources(instance, fleet).choose(NOW);
            source.ifPresent(asked::add);
            source.ifPresent(each -> assertEquals(fleet.get(each), fleet.get(instance)));
            if (source.isEmpty()) {
                asking.add(instance);
            }
        }
        assertEquals(asking.size(), 3);
        assertEquals(asked, asking);
    }

    @Test
    public void skipsUnresponsiveInstancesUntilItAsksStoreItself() {
        Map<String, String> fleet = failureDomains(15);
        for (String instance : fleet.keySet()) {
            ConfirmationSources sources = sources(instance, fleet);
            Set<String> silent = new HashSet<>();
            for (Optional<String> each = sources.choose(NOW);
                    each.isPresent();
                    each = sources.choose(NOW)) {
                assertTrue(silent.add(each.get()), "asked twice: " + each.get());
                sources.exclude(each.get(), NOW);
            }
            assertTrue(silent.size() <= 4, "asked " + silent);
        }
    }

    @Test
    public void retriesSkippedInstanceAfterDelay() {
        Map<String, String> fleet = failureDomains(15);
        for (String instance : fleet.keySet()) {
            ConfirmationSources sources = sources(instance, fleet);
            Optional<String> first = sources.choose(NOW);
            first.ifPresent(each -> sources.exclude(each, NOW));
            assertEquals(sources.choose(LATER), first);
        }
    }

    @Test
    public void asksStoreWithoutOtherInstances() {
        assertEquals(new ConfirmationSources("i1", "d1").choose(NOW), Optional.empty());
    }
}
