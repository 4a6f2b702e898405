package org.plantainferry.engine.replacement;

/**
 * Holds the opinion of a monitor on whether a server answers.
 *
 * @param known whether the monitor probes the server
 * @param silenceMillis how long its probes have been unanswered; 0 when the last was answered
 * @since 0.1
 */
public record ProbeOpinion(boolean known, long silenceMillis) {}
