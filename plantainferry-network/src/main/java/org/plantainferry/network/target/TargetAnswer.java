package org.plantainferry.network.target;

/**
 * Holds the answer of a server to one request.
 *
 * @param status the HTTP status
 * @param body JSON text
 * @since 0.1
 */
public record TargetAnswer(int status, String body) {}
