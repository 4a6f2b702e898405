package org.plantainferry.network.http;

import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Holds one HTTP request.
 *
 * @param method the method, as {@code GET}
 * @param uri the path and query
 * @param headers headers besides those that the connection sets
 * @param body the body, if there is one
 * @param expectedHeader a header that the answer must repeat with the same value
 * @since 0.1
 */
public record HttpRequest(
        String method,
        String uri,
        Map<String, String> headers,
        Optional<String> body,
        Optional<String> expectedHeader) {
    /** Checks that nothing is missing. */
    public HttpRequest {
        Preconditions.notNull(method, "method");
        Preconditions.notNull(uri, "uri");
        headers = Map.copyOf(headers);
        Preconditions.notNull(body, "body");
        Preconditions.notNull(expectedHeader, "expectedHeader");
        Preconditions.condition(
                expectedHeader.isEmpty() || headers.containsKey(expectedHeader.get()),
                "expectedHeader must be one of the headers");
    }
}
