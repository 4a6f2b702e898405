package org.plantainferry.network.peer;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.nio.file.Path;
import javax.net.ssl.SSLException;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;

/**
 * Holds the TLS contexts of both sides of a peer link.
 *
 * <p>Both sides present a certificate and accept only certificates signed by an authority in the
 * trust file. Host names are not verified, because instances are addressed by changing IP
 * addresses; the authorities in the trust file must therefore sign only certificates of instances.
 *
 * @param client the context of outgoing connections
 * @param server the context of the listener, which requires a client certificate
 * @since 0.1
 */
public record PeerTls(SslContext client, SslContext server) {
    /** Checks that nothing is missing. */
    public PeerTls {
        Preconditions.notNull(client, "client");
        Preconditions.notNull(server, "server");
    }

    /**
     * Creates the contexts from PEM files.
     *
     * @param certificates the certificate chain of this instance
     * @param key its private key in PKCS #8 format, unencrypted
     * @param trusted the certificates of the authorities that sign peer certificates
     * @throws PlantainferryException with {@code CONFIGURATION_INVALID} when a file cannot be used
     */
    public static PeerTls fromFiles(Path certificates, Path key, Path trusted) {
        try {
            SslContext client =
                    SslContextBuilder.forClient()
                            .keyManager(certificates.toFile(), key.toFile())
                            .trustManager(trusted.toFile())
                            .endpointIdentificationAlgorithm(null)
                            .build();
            SslContext server =
                    SslContextBuilder.forServer(certificates.toFile(), key.toFile())
                            .trustManager(trusted.toFile())
                            .clientAuth(ClientAuth.REQUIRE)
                            .build();
            return new PeerTls(client, server);
        } catch (SSLException | IllegalArgumentException e) {
            throw new PlantainferryException(
                    ErrorCode.CONFIGURATION_INVALID,
                    "cannot use the TLS files "
                            + certificates
                            + ", "
                            + key
                            + " and "
                            + trusted
                            + ": "
                            + e.getMessage(),
                    e);
        }
    }
}
