package org.plantainferry.gateway.traffic;

/** Represents one read or write outside a transaction. */
interface SingleOperation extends RunningStatement {
    /** Starts the operation; its result may follow before this method returns. */
    void start();
}
