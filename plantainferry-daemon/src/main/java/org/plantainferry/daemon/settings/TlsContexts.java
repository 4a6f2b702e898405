package org.plantainferry.daemon.settings;

import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.network.peer.PeerTls;

/**
 * Holds the TLS contexts of an instance.
 *
 * @param callerContext the context of the callers' listener
 * @param peerTls the contexts of the links between instances
 * @since 0.1
 */
public record TlsContexts(SSLContext callerContext, PeerTls peerTls) {
    /**
     * Reads the files that the settings name.
     *
     * @throws PlantainferryException with {@link ErrorCode#CONFIGURATION_INVALID} when a file
     *     cannot be used
     */
    public static TlsContexts read(DaemonSettings.TlsSettings settings) {
        PeerTls peers =
                PeerTls.fromFiles(
                        settings.certificateFile(), settings.keyFile(), settings.trustFile());
        try {
            JdkSslContext callers =
                    (JdkSslContext)
                            SslContextBuilder.forServer(
                                            settings.certificateFile().toFile(),
                                            settings.keyFile().toFile())
                                    .sslProvider(SslProvider.JDK)
                                    .build();
            return new TlsContexts(callers.context(), peers);
        } catch (SSLException | IllegalArgumentException e) {
            throw new PlantainferryException(
                    ErrorCode.CONFIGURATION_INVALID, "tls: " + e.getMessage(), e);
        }
    }
}
