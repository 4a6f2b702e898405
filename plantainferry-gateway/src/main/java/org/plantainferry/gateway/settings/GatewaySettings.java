package org.plantainferry.gateway.settings;

import org.plantainferry.api.Preconditions;

/**
 * Holds the settings of one gateway process.
 *
 * @param instance the name of this instance
 * @param failureDomain where it runs
 * @param localAddress the IP number to which connections are bound
 * @param callerListener IP:PORT for callers
 * @param operatorListener IP:PORT for health, metrics and status
 * @param peerPort the UDP port for messages and TCP port for relayed connections of other instances
 * @param storeAddress IP:PORT of the platform's store
 * @param ordersAddress IP:PORT of the platform's service for orders
 * @param drainMillis how long the process may take to end after a signal
 * @param serverDrainMillis for how long a leaving server takes work, at most
 * @param platformFencesPrimaries whether a former primary loses the lead as another one is ordered;
 *     otherwise it may go on while it is cut off, and the instances guard against using it
 * @param configurationMillis how soon a change of the configuration must be in force
 * @param keyWithdrawalMillis how soon a withdrawn key must have stopped working
 * @param rateWindowMillis the window over which the rate of a workspace is judged
 * @param rateExcess the part by which a workspace may exceed its limit in the window
 * @param rateSlack operations by which a workspace may exceed its limit in the window
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
        double rateSlack) {
    private static final int MAX_PORT = 65_535;

    /** Checks all values. */
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
    }

    private static void requireNotEmpty(String text, String name) {
        Preconditions.condition(text != null && !text.isEmpty(), name + " must not be empty");
    }
}
