package org.plantainferry.network.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * Holds one complete HTTP response.
 *
 * @param status the HTTP status
 * @param headers the headers; their names are compared without regard to case
 * @param body the body as text; empty when there is none
 * @since 0.1
 */
public record HttpResponse(int status, HttpHeaders headers, String body) {
    /** Returns the {@code ETag} header, if there is one. */
    public Optional<String> entityTag() {
        return header(HttpHeaderNames.ETAG);
    }

    /** Returns the first value of a header, if there is one. */
    public Optional<String> header(CharSequence name) {
        return Optional.ofNullable(headers.get(name));
    }
}
