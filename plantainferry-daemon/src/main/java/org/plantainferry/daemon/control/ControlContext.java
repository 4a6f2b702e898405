package org.plantainferry.daemon.control;

import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.plantainferry.daemon.settings.DaemonSettings;
import org.plantainferry.network.store.PlatformStore;

/**
 * Holds the dependencies that all controllers share.
 *
 * @param settings the settings of the instance
 * @param incarnation greater than that of any earlier process with the same identifier
 * @param loop the control thread
 * @param clock returns the monotonic time in nanoseconds
 * @param random the random source of the control thread
 * @param store the store of the platform
 * @since 0.1
 */
public record ControlContext(
        DaemonSettings settings,
        long incarnation,
        ControlLoop loop,
        LongSupplier clock,
        UniformRandomProvider random,
        PlatformStore store) {
    /** Returns the monotonic time in nanoseconds. */
    long now() {
        return clock.getAsLong();
    }
}
