package org.plantainferry.gateway.spi;

import java.util.List;

/**
 * Provides the lines with which a gateway warms up, in the wire format of callers and servers.
 *
 * @since 0.3
 */
public interface WarmUpScript {
    /** Returns the lines of one session, which can be sent at once. */
    List<String> callerLines(String database, String key);

    /** Returns whether a line of the gateway completes the answer to one line of the session. */
    boolean isAnswerEnd(String line);

    /** Creates the server end of one connection. */
    ServerEnd newServerEnd();

    /** Answers the lines of one connection in the way of a server that holds no data. */
    interface ServerEnd {
        /** Returns the lines of the answer. */
        List<String> answer(String line);
    }
}
