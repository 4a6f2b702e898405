package org.plantainferry.verification.standin.group;

import java.util.List;
import java.util.Optional;

/**
 * Holds the settings of a group.
 *
 * @param group its name
 * @param control HOST:PORT of the control endpoints
 * @param servers its servers; the first one is the primary at the start
 * @param slots statements that run at the same time on one server; 3 when absent
 * @param queueLimit statements that wait for a slot of one server; 32 when absent
 * @param connectionLimit connections to one server; 50 when absent
 * @param openMillis time from the first request of a connection until it is read; 10 when absent
 * @param serviceMillis time for which a statement holds its slot; 2 when absent
 * @param lagMillis time after which an entry reaches a replica; 1 when absent
 * @param confirmTimeoutMillis time after which a write is unconfirmed; 2000 when absent
 * @param forbiddenTexts texts that no request may contain
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
     * Names one server.
     *
     * @param id its name
     * @param address HOST:PORT at which it listens
     * @since 0.1
     */
    public record Server(String id, String address) {}

    /** Returns settings in which everything optional has its default. */
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
