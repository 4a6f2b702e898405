package org.plantainferry.network.http;

import java.util.Optional;

/**
 * Holds one whole HTTP answer.
 *
 * @param status the HTTP status
 * @param entityTag the {@code ETag} header, if there is one
 * @param body the body as text; empty when there is none
 * @since 0.1
 */
public record HttpResponse(int status, Optional<String> entityTag, String body) {}
