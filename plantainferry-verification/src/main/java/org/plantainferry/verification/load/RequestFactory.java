package org.plantainferry.verification.load;

import java.util.Map;
import java.util.Optional;

/**
 * Builds the requests of callers.
 *
 * @since 0.1
 */
public interface RequestFactory {
    /**
     * Holds one request.
     *
     * @param path the path
     * @param headers the headers besides host and length
     * @param body the body
     * @since 0.1
     */
    record Request(String path, Map<String, String> headers, String body) {}

    /** Returns a request that reads or writes the value of a caller. */
    Request create(int caller, long number, boolean read, Optional<String> session);

    /** Returns requests to an instance for a service, with a key. */
    static RequestFactory forInstance(String service, String key) {
        String path = "/v1/services/" + service + "/statements";
        return (caller, number, read, session) -> {
            Map<String, String> headers =
                    session.map(
                                    token ->
                                            Map.of(
                                                    "Authorization",
                                                    "Bearer " + key,
                                                    "Plantainferry-Session",
                                                    token))
                            .orElseGet(() -> Map.of("Authorization", "Bearer " + key));
            return new Request(path, headers, body(caller, number, read, ""));
        };
    }

    /** Returns requests to a server of a group, as an instance sends them. */
    static RequestFactory forServer(long term) {
        return (caller, number, read, session) ->
                new Request(
                        "/statement",
                        Map.of("Request-Number", Long.toString(number + 1)),
                        body(caller, number, read, ", \"term\": " + term));
    }

    private static String body(int caller, long number, boolean read, String more) {
        String name = "load-" + caller;
        String statement = read ? "GET " + name : "PUT " + name + " " + number;
        String kind = read ? "read" : "write";
        return "{\"statement\": \"" + statement + "\", \"kind\": \"" + kind + "\"" + more + "}";
    }
}
