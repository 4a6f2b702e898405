package org.plantainferry.gateway.traffic;

/** Represents a connection for which the process holds memory. */
interface MemoryHolder {
    /** Receives again, after it had to wait for its turn. */
    void resumeReceiving();

    /** Updates how much is held of what was written and not yet read. */
    void updateUnread();

    /** Closes the connection at once, because the memory is needed. */
    void closeForMemory();
}
