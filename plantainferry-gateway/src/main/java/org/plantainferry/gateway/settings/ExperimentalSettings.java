package org.plantainferry.gateway.settings;

import java.util.List;
import org.plantainferry.api.Preconditions;

/**
 * Selects between ways of working that are compared with each other.
 *
 * @param storeFollowing how the instances follow the store; one of {@link #STORE_FOLLOWING_WAYS}
 * @since 0.3
 */
public record ExperimentalSettings(String storeFollowing) {
    /** Each instance watches the store. */
    public static final String DIRECT = "direct";

    /** One instance of each failure domain watches the store, and the others follow it. */
    public static final String DOMAIN = "domain";

    /** The permitted values of {@code storeFollowing}. */
    public static final List<String> STORE_FOLLOWING_WAYS = List.of(DIRECT, DOMAIN);

    /** The settings that apply in production. */
    public static final ExperimentalSettings NONE = new ExperimentalSettings(DOMAIN);

    /** Validates all values. */
    public ExperimentalSettings {
        Preconditions.condition(
                STORE_FOLLOWING_WAYS.contains(storeFollowing),
                "storeFollowing must be one of " + STORE_FOLLOWING_WAYS);
    }
}
