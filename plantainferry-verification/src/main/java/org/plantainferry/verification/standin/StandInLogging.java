package org.plantainferry.verification.standin;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sets the log level of stand-ins that run as processes of their own.
 *
 * @since 0.1
 */
public final class StandInLogging {
    private StandInLogging() {}

    /** Logs warnings and errors only; without it, Undertow logs every request. */
    public static void logWarningsOnly() {
        ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.WARN);
    }
}
