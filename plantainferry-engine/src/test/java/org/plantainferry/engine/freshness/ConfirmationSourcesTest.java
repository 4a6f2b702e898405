package org.plantainferry.engine.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against every instance asking the store, and against a domain where none does. */
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

    private static ConfirmationSources sources(
            String instance, Map<String, String> domainByInstance) {
        ConfirmationSources sources =
                new ConfirmationSources(instance, domainByInstance.get(instance));
        Map<String, String> others = new HashMap<>(domainByInstance);
        others.remove(instance);
        sources.onInstances(others);
        return sources;
    }

    @Test
    public void oneInstancePerFailureDomainAsksStore() {
        Map<String, String> domainByInstance = failureDomains(139);
        Set<String> asking = new HashSet<>();
        Set<String> asked = new HashSet<>();
        for (String instance : domainByInstance.keySet()) {
            Optional<String> source = sources(instance, domainByInstance).choose(NOW);
            source.ifPresent(asked::add);
            source.ifPresent(
                    id -> assertEquals(domainByInstance.get(id), domainByInstance.get(instance)));
            if (source.isEmpty()) {
                asking.add(instance);
            }
        }
        assertEquals(asking.size(), 3);
        assertEquals(asked, asking);
    }

    @Test
    public void skipsUnresponsiveInstancesUntilItAsksStoreItself() {
        Map<String, String> domainByInstance = failureDomains(15);
        for (String instance : domainByInstance.keySet()) {
            ConfirmationSources sources = sources(instance, domainByInstance);
            Set<String> silent = new HashSet<>();
            for (Optional<String> source = sources.choose(NOW);
                    source.isPresent();
                    source = sources.choose(NOW)) {
                assertTrue(silent.add(source.get()), "asked twice: " + source.get());
                sources.exclude(source.get(), NOW);
            }
            assertTrue(silent.size() <= 4, "asked " + silent);
        }
    }

    @Test
    public void retriesSkippedInstanceAfterDelay() {
        Map<String, String> domainByInstance = failureDomains(15);
        for (String instance : domainByInstance.keySet()) {
            ConfirmationSources sources = sources(instance, domainByInstance);
            Optional<String> first = sources.choose(NOW);
            first.ifPresent(source -> sources.exclude(source, NOW));
            assertEquals(sources.choose(LATER), first);
        }
    }

    @Test
    public void asksStoreWithoutOtherInstances() {
        assertEquals(new ConfirmationSources("i1", "d1").choose(NOW), Optional.empty());
    }
}
