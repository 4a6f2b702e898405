package org.plantainferry.verification.standin.group;

import java.util.List;
import java.util.Optional;

/**
 * Holds the settings of a group.
 *
 * @param group the name of the group
 * @param control HOST:PORT of the control endpoints
 * @param servers the servers; the first one is the initial primary
 * @param slots the statements that one server runs concurrently; 3 when absent
 * @param queueLimit the statements that wait for a slot of one server; 32 when absent
 * @param connectionLimit the maximum number of connections to one server; 50 when absent
 * @param openMillis the delay before the first request of a connection is read; 10 when absent
 * @param serviceMillis the time for which a statement occupies its slot; 2 when absent
 * @param lagMillis the delay after which an entry reaches a replica; 1 when absent
 * @param confirmTimeoutMillis the time after which a write counts as unconfirmed; 2000 when absent
 * @param forbiddenTexts the texts that requests must not contain, such as callers' keys
 * @since 0.1
 */
public record GroupSettings(
        String group,
        String control,
        List<Server> servers,
        Optional<Integer> slots,
        Optional<Integer> queueLimit,
        Optional<Integer> connectionLimit,
        Optional<Long> openMillis,
        Optional<Long> serviceMillis,
        Optional<Long> lagMillis,
        Optional<Long> confirmTimeoutMillis,
        Optional<List<String>> forbiddenTexts) {
    /**
     * Describes one server.
     *
     * @param id the identifier of the server
     * @param address HOST:PORT on which it listens
     * @since 0.1
     */
    public record Server(String id, String address) {}

    /** Returns settings that use the default for each optional value. */
    public static GroupSettings withDefaults(String group, String control, List<Server> servers) {
        return new GroupSettings(
                group,
                control,
                servers,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    int slotsOrDefault() {
        return slots.orElse(3);
    }

    int queueLimitOrDefault() {
        return queueLimit.orElse(32);
    }

    int connectionLimitOrDefault() {
        return connectionLimit.orElse(50);
    }

    long openMillisOrDefault() {
        return openMillis.orElse(10L);
    }

    long serviceMillisOrDefault() {
        return serviceMillis.orElse(2L);
    }

    long lagMillisOrDefault() {
        return lagMillis.orElse(1L);
    }

    long confirmTimeoutMillisOrDefault() {
        return confirmTimeoutMillis.orElse(2_000L);
    }
}
