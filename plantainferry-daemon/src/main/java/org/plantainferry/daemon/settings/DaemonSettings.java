package org.plantainferry.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;

/**
 * Holds the checked settings of an instance.
 *
 * @param instance the identifier of this process; a restarted process needs a new one
 * @param failureDomain where it runs
 * @param localAddress the IP number to which outgoing connections are bound
 * @param callerListener where callers connect
 * @param peerListener where other instances connect
 * @param operatorListener where operators and health checks connect
 * @param storeAddress IP:PORT of the platform's store
 * @param sessionSecretFiles files with session secrets; the first signs
 * @param drainMillis the longest time that a shutdown waits for work in progress, in milliseconds
 * @param defaultDeadlineMillis the deadline of requests that state none, in milliseconds
 * @param jsonLogs whether log lines are JSON objects
 * @param policy which routing and limit policy is in force
 * @param tls files for TLS; empty for plain connections
 * @since 0.1
 */
public record DaemonSettings(
        InstanceId instance,
        FailureDomain failureDomain,
        String localAddress,
        ListenAddress callerListener,
        ListenAddress peerListener,
        ListenAddress operatorListener,
        String storeAddress,
        List<Path> sessionSecretFiles,
        long drainMillis,
        long defaultDeadlineMillis,
        boolean jsonLogs,
        Policy policy,
        Optional<TlsSettings> tls) {

    /** Chooses between the product's policy and the baseline for measurements. */
    public enum Policy {
        /** Lag-aware reads, shares lent by demand. */
        STANDARD,
        /** Round-robin reads and fixed shares, for comparison in benchmarks. */
        SIMPLE
    }

    /**
     * Names the files for TLS.
     *
     * @param certificateFile PEM file with the certificate chain of this instance
     * @param keyFile PEM file with its private key, PKCS #8 without a password
     * @param trustFile PEM file with the certificates that sign those of other instances
     */
    public record TlsSettings(Path certificateFile, Path keyFile, Path trustFile) {}
}
