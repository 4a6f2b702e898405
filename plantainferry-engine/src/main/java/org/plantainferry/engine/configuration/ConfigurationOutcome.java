package org.plantainferry.engine.configuration;

import java.util.Optional;
import java.util.Set;
import org.plantainferry.api.configuration.Configuration;

/**
 * Says what became of an offered configuration.
 *
 * @since 0.1
 */
public sealed interface ConfigurationOutcome {
    /**
     * Reports that a greater version is in force now.
     *
     * @param previous the version before
     * @param current the version in force
     * @param withdrawnKeys keys whose open transactions and queued requests must end at once
     * @since 0.1
     */
    record Accepted(Configuration previous, Configuration current, Set<KeyReference> withdrawnKeys)
            implements ConfigurationOutcome {}

    /**
     * Reports that the offered version is the one in force, or an older one.
     *
     * @param version the offered version
     * @since 0.1
     */
    record NotNewer(long version) implements ConfigurationOutcome {}

    /**
     * Reports that the offer cannot be read; the last good version stays in force.
     *
     * @param reason what is wrong with it
     * @param claimedVersion its version, when at least that can be read; when it is greater than
     *     the version in force, the store did not confirm the latter
     * @since 0.1
     */
    record Malformed(String reason, Optional<Long> claimedVersion)
            implements ConfigurationOutcome {}
}
