package org.plantainferry.network.target;

import java.util.Optional;

/**
 * Holds the answer to a promotion request.
 *
 * @param promoted whether the server is now the primary of the term
 * @param term the term of the server, if it reported it
 * @param position the position at which the term begins, if it was promoted; empty when it refused
 * @since 0.1
 */
public record PromotionResult(boolean promoted, Optional<Long> term, Optional<Long> position) {}
