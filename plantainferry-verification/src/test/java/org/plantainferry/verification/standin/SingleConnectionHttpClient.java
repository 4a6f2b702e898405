package org.plantainferry.verification.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.plantainferry.api.json.Json;

/**
 * Sends requests over one TCP connection, which a general HTTP client does not promise.
 *
 * @since 0.1
 */
public final class SingleConnectionHttpClient implements AutoCloseable {
    /** Is an answer with lower-case header names. */
    public record Response(int status, Map<String, String> headers, String body) {
        /** Reads the body as JSON. */
        public JsonNode json() throws IOException {
            return Json.strict().readTree(body);
        }
    }

    private final Socket mSocket = new Socket();

    /** Connects from a source IP address. */
    public SingleConnectionHttpClient(InetSocketAddress server, String sourceIp, int timeoutMillis)
            throws IOException {
        mSocket.setReuseAddress(true);
        mSocket.bind(new InetSocketAddress(sourceIp, 0));
        mSocket.setSoTimeout(timeoutMillis);
        mSocket.setTcpNoDelay(true);
        mSocket.connect(server);
    }

    /** Connects with a timeout of 10 s. */
    public SingleConnectionHttpClient(InetSocketAddress server) throws IOException {
        this(server, "127.0.0.1", 10_000);
    }

    /** Sends a request and reads its answer; {@code headers} are lines that end with CRLF. */
    public Response call(String method, String path, String headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: test\r\n" + headers;
        head += "Content-Length: " + bytes.length + "\r\n\r\n";
        mSocket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
        mSocket.getOutputStream().write(bytes);
        return readResponse();
    }

    /** Sends a request of the protocol of a database server. */
    public Response post(String path, String body) throws IOException {
        return call("POST", path, "Request-Number: 1\r\n", body);
    }

    /** Sends a request without a body. */
    public Response get(String path) throws IOException {
        return call("GET", path, "Request-Number: 1\r\n", "");
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    private Response readResponse() throws IOException {
        InputStream input = mSocket.getInputStream();
        int status = Integer.parseInt(readLine(input).split(" ")[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        return new Response(status, headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection was closed");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.UTF_8).trim();
    }
}
