package org.plantainferry.verification.standin.store;

import org.plantainferry.verification.standin.HttpEndpoint;
import org.plantainferry.verification.standin.StandInLogging;

/**
 * Runs the stand-in of the store as a process of its own.
 *
 * @since 0.1
 */
public final class StoreStandInMain {
    private StoreStandInMain() {}

    /** Starts the store at the address HOST:PORT that is the only argument. */
    public static void main(String[] arguments) {
        if (arguments.length != 1) {
            System.err.println("usage: StoreStandInMain HOST:PORT");
            System.exit(2);
        }
        StandInLogging.logWarningsOnly();
        StoreStandIn store = new StoreStandIn(HttpEndpoint.parseAddress(arguments[0]));
        System.out.println("store listening at " + store.address());
    }
}
