package org.plantainferry.verification.bench;

import java.util.List;

/**
 * Describes one of the two deployments for which policies are compared.
 *
 * @param name its name in the results
 * @param slots statements that one server runs at the same time
 * @param connectionLimit connections that one server accepts
 * @param openMillis time to open a connection to a server in milliseconds
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
