package org.plantainferry.verification.load;

import java.util.Map;
import java.util.Optional;

/**
 * Creates the requests that load callers send.
 *
 * @since 0.1
 */
public interface RequestFactory {
    /**
     * An HTTP POST request.
     *
     * @param path the path
     * @param headers the headers except {@code Host} and {@code Content-Length}
     * @param body the body
     * @since 0.1
     */
    record Request(String path, Map<String, String> headers, String body) {}

    /**
     * Returns a request that reads or writes the value of a caller.
     *
     * @param callerIndex the index of the caller
     * @param requestNumber the number of the request within its caller, from 0
     * @param read whether the request is a read
     * @param sessionToken the session token to send; empty without one
     */
    Request create(
            int callerIndex, long requestNumber, boolean read, Optional<String> sessionToken);

    /** Returns a factory for requests to an instance that call a service with a key. */
    static RequestFactory forInstance(String service, String key) {
        String path = "/v1/services/" + service + "/statements";
        return (callerIndex, requestNumber, read, sessionToken) -> {
            Map<String, String> headers =
                    sessionToken
                            .map(
                                    token ->
                                            Map.of(
                                                    "Authorization",
                                                    "Bearer " + key,
                                                    "Plantainferry-Session",
                                                    token))
                            .orElseGet(() -> Map.of("Authorization", "Bearer " + key));
            return new Request(path, headers, body(callerIndex, requestNumber, read, ""));
        };
    }

    /**
     * Returns a factory for requests to a server of a group, in the form that an instance sends.
     */
    static RequestFactory forServer(long term) {
        return (callerIndex, requestNumber, read, sessionToken) ->
                new Request(
                        "/statement",
                        Map.of("Request-Number", Long.toString(requestNumber + 1)),
                        body(callerIndex, requestNumber, read, ", \"term\": " + term));
    }

    private static String body(
            int callerIndex, long requestNumber, boolean read, String extraFields) {
        String name = "load-" + callerIndex;
        String statement = read ? "GET " + name : "PUT " + name + " " + requestNumber;
        String kind = read ? "read" : "write";
        return "{\"statement\": \""
                + statement
                + "\", \"kind\": \""
                + kind
                + "\""
                + extraFields
                + "}";
    }
}
