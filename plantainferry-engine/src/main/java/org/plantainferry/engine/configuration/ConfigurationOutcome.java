package org.plantainferry.engine.configuration;

import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.configuration.Configuration;

/**
 * Describes the result of offering a configuration.
 *
 * @since 0.1
 */
public sealed interface ConfigurationOutcome {
    /**
     * Reports that the offered version is greater than the previous one and now in force.
     *
     * @param previous the configuration that was in force before
     * @param current the configuration that is in force now
     * @param withdrawnKeys keys whose open transactions and queued requests must end immediately
     * @since 0.1
     */
    record Accepted(Configuration previous, Configuration current, Set<KeyReference> withdrawnKeys)
            implements ConfigurationOutcome {}

    /**
     * Reports that the offered version is not greater than the version in force.
     *
     * @param version the offered version
     * @since 0.1
     */
    record NotNewer(long version) implements ConfigurationOutcome {}

    /**
     * Reports that the offered text cannot be parsed; the last valid version stays in force.
     *
     * @param reason why the text cannot be parsed
     * @param claimedVersion the version in the text, if at least that can be parsed; if it is
     *     greater than the version in force, the store did not confirm the version in force
     * @since 0.1
     */
    record Malformed(String reason, Optional<Long> claimedVersion)
            implements ConfigurationOutcome {}
}
