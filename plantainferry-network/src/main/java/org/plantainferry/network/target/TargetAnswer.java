package org.plantainferry.network.target;

/**
 * Holds the response of a target server to one request.
 *
 * @param status the HTTP status
 * @param body the body as JSON text
 * @since 0.1
 */
public record TargetAnswer(int status, String body) {}
