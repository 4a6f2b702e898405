package org.plantainferry.engine.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.testng.annotations.Test;

/** Guards against uneven duties and against moving more of them than a change requires. */
public class RendezvousHashTest {
    @Test
    public void distributesServicesEvenlyAndMovesOnlyThoseOfARemovedInstance() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 520; i++) {
            members.add(member("instance-" + i, "d" + i % 4, false));
        }
        RendezvousHash before = new RendezvousHash(new MembershipSnapshot(1, members));
        InstanceId lost = members.remove(17).id();
        RendezvousHash after = new RendezvousHash(new MembershipSnapshot(2, members));
        Map<InstanceId, Integer> duties = new HashMap<>();
        for (int i = 0; i < 1_300; i++) {
            List<InstanceId> ranked = before.rankAcrossDomains("service-" + i, 3);
            ranked.forEach(each -> duties.merge(each, 1, Integer::sum));
            assertEquals(domains(ranked).size(), 3);
            if (!ranked.contains(lost)) {
                assertEquals(after.rankAcrossDomains("service-" + i, 3), ranked);
            }
        }
        int most = duties.values().stream().mapToInt(each -> each).max().orElseThrow();
        assertTrue(most <= 20 && duties.size() >= 515, most + " / " + duties.size());
    }

    @Test
    public void excludesLeavingInstancesUnlessAllAreLeaving() {
        Member a = member("a", "d", false);
        Member b = member("b", "d", true);
        assertEquals(
                new RendezvousHash(new MembershipSnapshot(1, List.of(a, b))).rank("s", 2),
                List.of(a.id()));
        assertEquals(
                new RendezvousHash(new MembershipSnapshot(1, List.of(b))).rank("s", 2),
                List.of(b.id()));
    }

    private static List<Integer> domains(List<InstanceId> ranked) {
        return ranked.stream()
                .map(each -> Integer.parseInt(each.value().substring(9)) % 4)
                .distinct()
                .collect(Collectors.toList());
    }

    private static Member member(String id, String domain, boolean leaving) {
        return new Member(new InstanceId(id), new FailureDomain(domain), "p", "c", "o", leaving);
    }
}
