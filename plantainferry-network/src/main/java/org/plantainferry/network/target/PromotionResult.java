package org.plantainferry.network.target;

import java.util.Optional;

/**
 * Holds the answer to a promotion request.
 *
 * @param promoted whether the server is the primary of the term now
 * @param term the term of the server, if it told it
 * @param position the position at which the term begins, if it was promoted and told it
 * @since 0.1
 */
public record PromotionResult(boolean promoted, Optional<Long> term, Optional<Long> position) {}
