package org.plantainferry.network.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;

/**
 * Reads socket addresses without a name service.
 *
 * @since 0.1
 */
public final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /**
     * Reads {@code IP:PORT}, or {@code [IP]:PORT} for IPv6.
     *
     * @throws PlantainferryException with {@code ARGUMENT_INVALID} for any other text
     */
    public static InetSocketAddress parse(String address) {
        Preconditions.notNull(address, "address");
        int colon = address.lastIndexOf(':');
        Preconditions.condition(colon > 0, "address must be IP:PORT: \"" + address + "\"");
        String host = address.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        } else {
            Preconditions.condition(
                    host.indexOf(':') < 0, "address must be IP:PORT: \"" + address + "\"");
        }
        return new InetSocketAddress(parseIpAddress(host), parsePort(address, colon));
    }

    /**
     * Reads an IP number.
     *
     * @throws PlantainferryException with {@code ARGUMENT_INVALID} for any other text
     */
    public static InetAddress parseIpAddress(String host) {
        Preconditions.notNull(host, "host");
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
        Preconditions.condition(bytes != null, "host must be an IP number: \"" + host + "\"");
        try {
            return InetAddress.getByAddress(bytes);
        } catch (UnknownHostException e) {
            throw new PlantainferryException(
                    ErrorCode.ARGUMENT_INVALID, "host must be an IP number: \"" + host + "\"", e);
        }
    }

    private static int parsePort(String address, int colon) {
        String digits = address.substring(colon + 1);
        Preconditions.condition(
                digits.matches("[0-9]{1,5}") && Integer.parseInt(digits) <= MAX_PORT,
                "address must have a port from 0 to " + MAX_PORT + ": \"" + address + "\"");
        return Integer.parseInt(digits);
    }
}
