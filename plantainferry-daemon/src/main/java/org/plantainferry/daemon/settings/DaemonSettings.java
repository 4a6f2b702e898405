package org.plantainferry.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;

/**
 * Holds the validated settings of an instance.
 *
 * @param instance the identifier of the process; a restarted process needs a new one
 * @param failureDomain the failure domain in which the instance runs
 * @param localAddress the IP address to which outgoing connections are bound
 * @param callerListener the address on which callers connect
 * @param peerListener the address on which other instances connect
 * @param operatorListener the address on which operators and health checks connect
 * @param storeAddress IP:PORT of the store of the platform
 * @param sessionSecretFiles files with session secrets; the first secret signs new tokens
 * @param drainMillis the maximum time that a shutdown waits for work in progress, in milliseconds
 * @param defaultDeadlineMillis the deadline of requests without one, in milliseconds
 * @param jsonLogs whether log lines are written as JSON objects
 * @param policy the policy for routing reads and sharing rate limits
 * @param tls the files for TLS; empty for unencrypted connections
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

    /** Selects between the regular policy and the baseline for benchmarks. */
    public enum Policy {
        /** Routes reads by the lag of replicas and lends shares of rate limits by demand. */
        STANDARD,
        /** Routes reads round-robin and gives each instance a fixed share of each rate limit. */
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
