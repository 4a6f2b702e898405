package org.plantainferry.engine.replacement;

/**
 * Says what a guardian thinks of a server.
 *
 * @param known whether the guardian probes the server
 * @param silenceMillis for how long its probes have gone unanswered; 0 when the last was answered
 * @since 0.1
 */
public record ProbeOpinion(boolean known, long silenceMillis) {}
