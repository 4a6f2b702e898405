package org.plantainferry.verification.history;

import java.util.List;

/**
 * Decides one promise from a history.
 *
 * @since 0.1
 */
public interface Checker {
    /** Returns the short name under which a report shows it. */
    String name();

    /** Returns a text for each place at which the promise was provably broken; empty for none. */
    List<String> check(History history);
}
