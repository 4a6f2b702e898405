package org.plantainferry.engine.membership;

import static org.testng.Assert.assertEquals;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Guards against instances, also of the build before, that choose different representatives of a
 * failure domain from the same list.
 */
public final class DomainRepresentativesTest {
    private static final String SUBJECT = "lead";
    private static final int INSTANCES = 120;
    private static final int DOMAINS = 3;
    private static final long EXCLUSION_MILLIS = 600;

    private static Map<String, String> instances() {
        Map<String, String> domains = new HashMap<>();
        for (int index = 0; index < INSTANCES; index++) {
            domains.put("front-" + index, "domain-" + index % DOMAINS);
        }
        return domains;
    }

    /** Chooses by the rule on which all builds agree: the highest score with the subject. */
    private static Optional<String> highest(
            Map<String, String> domains, String domain, Set<String> excluded) {
        long subjectHash = RendezvousScore.hash(SUBJECT);
        return domains.entrySet().stream()
                .filter(entry -> entry.getValue().equals(domain))
                .map(Map.Entry::getKey)
                .filter(name -> !excluded.contains(name))
                .max(
                        Comparator.comparingLong(
                                name ->
                                        RendezvousScore.score(
                                                RendezvousScore.hash(name), subjectHash)));
    }

    @Test
    public void choosesTheHighestScoreOfThoseThatAreNotExcluded() {
        DomainRepresentatives representatives =
                new DomainRepresentatives(SUBJECT, EXCLUSION_MILLIS);
        Map<String, String> domains = instances();
        representatives.onInstances(domains);
        Set<String> excluded = new HashSet<>();
        for (int round = 0; round < INSTANCES / DOMAINS; round++) {
            for (int domain = 0; domain < DOMAINS; domain++) {
                String name = "domain-" + domain;
                Optional<String> chosen = representatives.representative(name, 0);
                assertEquals(chosen, highest(domains, name, excluded));
                excluded.add(chosen.orElseThrow());
                representatives.exclude(chosen.get(), 0);
            }
        }
        assertEquals(representatives.representative("domain-0", 0), Optional.empty());
        long later = TimeUnit.MILLISECONDS.toNanos(EXCLUSION_MILLIS);
        assertEquals(
                representatives.representative("domain-0", later),
                highest(domains, "domain-0", Set.of()));
    }

    @Test
    public void forgetsInstancesThatAreGone() {
        DomainRepresentatives representatives =
                new DomainRepresentatives(SUBJECT, EXCLUSION_MILLIS);
        representatives.onInstances(instances());
        representatives.onInstances(Map.of("front-1", "domain-1"));
        assertEquals(representatives.domains(), Set.of("domain-1"));
        assertEquals(representatives.representative("domain-0", 0), Optional.empty());
        assertEquals(representatives.representative("domain-1", 0), Optional.of("front-1"));
    }
}
