package org.plantainferry.verification.bench;

import java.util.List;

/**
 * Describes the databases of one of the two deployments.
 *
 * @param name its name
 * @param slots statements that one server runs at the same time
 * @param connectionLimit connections that one server accepts
 * @param openMillis milliseconds to open a connection
 * @param failureDomains its failure domains
 */
record PolicyDeployment(
        String name, int slots, int connectionLimit, long openMillis, String... failureDomains) {
    static List<PolicyDeployment> both() {
        return List.of(
                new PolicyDeployment("Lario", 3, 50, 10, "como-a", "lecco-a", "sondrio-a"),
                new PolicyDeployment(
                        "Jamaica",
                        5,
                        100,
                        30,
                        "kingston-a",
                        "kingston-b",
                        "spanish-town",
                        "portmore"));
    }
}
