package org.plantainferry.engine.hosting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against hosts that are too many to see a server's load, that pile up on few instances, or
 * that move when an instance comes or goes.
 */
public final class HostRankingTest {
    private static final int SERVICES = 60;
    private static final int DOMAINS = 4;

    /** Provides numbers of instances. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{13}, {136}, {520}};
    }

    private static Map<String, String> fleet(int instances) {
        Map<String, String> domains = new HashMap<>();
        for (int index = 0; index < instances; index++) {
            domains.put("instance-" + index, "domain-" + index % DOMAINS);
        }
        return domains;
    }

    private static String firstForReads(HostRanking ranking, int service, String domain) {
        return ranking.forReads("service-" + service, domain).get(0);
    }

    @Test(dataProvider = "fleets")
    public void ranksThreeInstancesOfTheDomainThatIsAskedFor(int instances) {
        Map<String, String> domains = fleet(instances);
        HostRanking ranking = new HostRanking(domains);
        for (int service = 0; service < SERVICES; service++) {
            List<String> reads = ranking.forReads("service-" + service, "domain-1");
            List<String> primary =
                    ranking.forPrimary("service-" + service, Optional.of("domain-2"));
            assertEquals(Set.copyOf(reads).size(), HostRanking.RANKS);
            assertTrue(reads.stream().allMatch(name -> domains.get(name).equals("domain-1")));
            assertTrue(primary.stream().allMatch(name -> domains.get(name).equals("domain-2")));
        }
    }

    @Test(dataProvider = "fleets")
    public void spreadsTheServicesOverTheInstances(int instances) {
        HostRanking ranking = new HostRanking(fleet(instances));
        Map<String, Integer> servicesByHost = new HashMap<>();
        for (int service = 0; service < SERVICES; service++) {
            servicesByHost.merge(firstForReads(ranking, service, "domain-0"), 1, Integer::sum);
        }
        int candidates = (instances + DOMAINS - 1) / DOMAINS;
        double fairShare = Math.max(1, (double) SERVICES / candidates);
        servicesByHost.forEach(
                (host, services) -> assertTrue(services <= 5 * fairShare, host + " " + services));
        assertTrue(servicesByHost.size() >= Math.min(candidates, SERVICES) / 2);
    }

    @Test(dataProvider = "fleets")
    public void movesOnlyTheServicesOfAnInstanceThatGoes(int instances) {
        Map<String, String> before = fleet(instances);
        HostRanking full = new HostRanking(before);
        String gone = firstForReads(full, 0, "domain-0");
        Map<String, String> after = new HashMap<>(before);
        after.remove(gone);
        HostRanking reduced = new HostRanking(after);
        for (int service = 0; service < SERVICES; service++) {
            List<String> ranked = full.forReads("service-" + service, "domain-0");
            String next = ranked.get(0).equals(gone) ? ranked.get(1) : ranked.get(0);
            assertEquals(firstForReads(reduced, service, "domain-0"), next);
        }
    }

    @Test
    public void ranksAllInstancesForAPrimaryWhoseDomainHasNone() {
        HostRanking ranking = new HostRanking(fleet(13));
        List<String> unknown = ranking.forPrimary("service", Optional.empty());
        assertEquals(ranking.forPrimary("service", Optional.of("elsewhere")), unknown);
        assertEquals(unknown.size(), HostRanking.RANKS);
    }

    @Test
    public void choosesHostsOfReadsAndOfThePrimaryIndependently() {
        HostRanking ranking = new HostRanking(fleet(136));
        Set<String> both = new HashSet<>();
        for (int service = 0; service < SERVICES; service++) {
            String reads = firstForReads(ranking, service, "domain-0");
            String name = "service-" + service;
            if (ranking.forPrimary(name, Optional.of("domain-0")).get(0).equals(reads)) {
                both.add(name);
            }
        }
        assertFalse(both.size() > SERVICES / 4, both.toString());
    }
}
