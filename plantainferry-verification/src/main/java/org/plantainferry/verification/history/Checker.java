package org.plantainferry.verification.history;

import java.util.List;

/**
 * Checks one guarantee against the history of a run.
 *
 * @since 0.1
 */
public interface Checker {
    /** Returns the short name of the guarantee in reports. */
    String name();

    /** Returns a description of each provable violation of the guarantee; empty for none. */
    List<String> check(History history);
}
