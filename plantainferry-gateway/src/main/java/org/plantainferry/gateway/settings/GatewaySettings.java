package org.plantainferry.gateway.settings;

import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Holds the settings of one gateway process.
 *
 * @param instance the name of this instance
 * @param failureDomain the failure domain in which it runs
 * @param localAddress the local IP address to which connections are bound
 * @param callerListener IP:PORT on which callers connect
 * @param operatorListener IP:PORT that serves health, metrics and status
 * @param peerPort the UDP port for messages and the TCP port for relayed connections from other
 *     instances
 * @param storeAddress IP:PORT of the platform's store
 * @param ordersAddress IP:PORT of the platform's promotion service
 * @param drainMillis how long the process may take to exit after a termination signal
 * @param serverDrainMillis how long a leaving server accepts work, at most
 * @param platformFencesPrimaries whether the platform demotes the former primary when it promotes
 *     another server; otherwise an isolated former primary may continue, and the instances guard
 *     against using it
 * @param configurationMillis the time within which a configuration change must be in force
 * @param keyWithdrawalMillis the time within which a withdrawn key must stop working
 * @param rateWindowMillis the window over which the rate of a workspace is measured
 * @param rateExcess the fraction by which a workspace may exceed its limit in the window
 * @param rateSlack the number of operations by which a workspace may exceed its limit in the window
 * @param evacuationMillis the time within which no statement may be sent to the servers of an
 *     evacuated failure domain any more; empty if failure domains are never evacuated
 * @param experimental which of several ways of working is used
 * @param resources what the machine gives to the process
 * @since 0.2
 */
public record GatewaySettings(
        String instance,
        String failureDomain,
        String localAddress,
        String callerListener,
        String operatorListener,
        int peerPort,
        String storeAddress,
        String ordersAddress,
        long drainMillis,
        long serverDrainMillis,
        boolean platformFencesPrimaries,
        long configurationMillis,
        long keyWithdrawalMillis,
        long rateWindowMillis,
        double rateExcess,
        double rateSlack,
        Optional<Long> evacuationMillis,
        ExperimentalSettings experimental,
        ResourceSettings resources) {
    private static final int MAX_PORT = 65_535;

    /** Validates all values. */
    public GatewaySettings {
        requireNotEmpty(instance, "instance");
        requireNotEmpty(failureDomain, "failureDomain");
        requireNotEmpty(localAddress, "localAddress");
        requireNotEmpty(callerListener, "callerListener");
        requireNotEmpty(operatorListener, "operatorListener");
        requireNotEmpty(storeAddress, "storeAddress");
        requireNotEmpty(ordersAddress, "ordersAddress");
        Preconditions.condition(peerPort > 0 && peerPort <= MAX_PORT, "peerPort is out of range");
        Preconditions.condition(drainMillis > 0, "drainMillis must be positive");
        Preconditions.condition(serverDrainMillis > 0, "serverDrainMillis must be positive");
        Preconditions.condition(configurationMillis > 0, "configurationMillis must be positive");
        Preconditions.condition(keyWithdrawalMillis > 0, "keyWithdrawalMillis must be positive");
        Preconditions.condition(rateWindowMillis > 0, "rateWindowMillis must be positive");
        Preconditions.condition(rateExcess >= 0, "rateExcess must not be negative");
        Preconditions.condition(rateSlack >= 0, "rateSlack must not be negative");
        Preconditions.condition(
                evacuationMillis.isEmpty() || evacuationMillis.get() > 0,
                "evacuationMillis must be positive");
        Preconditions.notNull(experimental, "experimental");
        Preconditions.notNull(resources, "resources");
    }

    private static void requireNotEmpty(String text, String name) {
        Preconditions.condition(text != null && !text.isEmpty(), name + " must not be empty");
    }
}
