package org.plantainferry.gateway.log;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Directs the logs of the gateway and of its libraries to standard output.
 *
 * <p>JBoss Logging writes through the logging of the JDK here, which starts sooner than a library
 * of its own. Call {@link #install} before any class that logs is used.
 *
 * @since 0.2
 */
public final class ConsoleLogging {
    private static final String PROVIDER_PROPERTY = "org.jboss.logging.provider";
    private static final int QUEUE_CAPACITY = 1_024;
    private static final long FLUSH_TIMEOUT_MILLIS = 200;
    private static final List<String> WARNING_LEVEL_LIBRARIES =
            List.of("io.undertow", "org.xnio", "org.jboss.threads", "io.netty");
    // The JDK holds loggers weakly; one that is collected would lose its level.
    private static final List<Logger> RETAINED_LOGGERS = new ArrayList<>();

    private static QueuedLineHandler sHandler;

    private ConsoleLogging() {}

    /** Sets logging up; a second call changes nothing. */
    public static synchronized void install() {
        if (sHandler != null) {
            return;
        }
        System.setProperty(PROVIDER_PROPERTY, "jdk");
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        LogManager.getLogManager().reset();
        sHandler = new QueuedLineHandler(new FileOutputStream(FileDescriptor.out), QUEUE_CAPACITY);
        sHandler.start();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.INFO);
        root.addHandler(sHandler);
        for (String library : WARNING_LEVEL_LIBRARIES) {
            Logger logger = Logger.getLogger(library);
            logger.setLevel(Level.WARNING);
            RETAINED_LOGGERS.add(logger);
        }
    }

    /** Waits until what was logged is written, but not for long. */
    public static synchronized void flush() throws InterruptedException {
        if (sHandler != null) {
            sHandler.awaitWritten(TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLIS));
        }
    }
}
