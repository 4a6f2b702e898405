package org.plantainferry.network.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.Assert;

/** Serves each connection with the script of a test, which sees the bare socket. */
public final class ScriptedServer implements AutoCloseable {
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *([0-9]+)");
    private static final Pattern REQUEST_NUMBER =
            Pattern.compile("(?i)request-number: *([^\r\n]+)");

    private static final long TIMEOUT_SECONDS = 10;

    private final ServerSocket mListener;
    private final BlockingQueue<Socket> mAcceptedSockets = new LinkedBlockingQueue<>();

    /** Serves one connection; the connection is closed when it returns. */
    public interface Script {
        /** Serves a connection. */
        void serve(Socket socket) throws IOException, InterruptedException;
    }

    /** Begins to serve on a free port of 127.0.0.1. */
    public ScriptedServer(Script script) throws IOException {
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread(() -> acceptConnections(script));
    }

    /** Returns IP:PORT. */
    public String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Returns the next accepted connection, and fails when none comes in time. */
    public Socket awaitConnection() throws InterruptedException {
        Socket socket = mAcceptedSockets.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        Assert.assertNotNull(socket, "no connection within " + TIMEOUT_SECONDS + " s");
        return socket;
    }

    /** Reads one request with its body; empty at the end of the stream. */
    public static String readRequest(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) >= 0) {
            bytes.write(next);
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            if (text.endsWith("\r\n\r\n")) {
                Matcher length = CONTENT_LENGTH.matcher(text);
                int count = length.find() ? Integer.parseInt(length.group(1)) : 0;
                return text + new String(in.readNBytes(count), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    /** Returns the request number in a request. */
    public static String requestNumber(String request) {
        Matcher matcher = REQUEST_NUMBER.matcher(request);
        return matcher.find() ? matcher.group(1) : "";
    }

    /** Returns an answer; extra header lines end with CR LF each. */
    public static String response(int status, String extraHeaders, String body) {
        return "HTTP/1.1 "
                + status
                + " X\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length
                + "\r\n"
                + extraHeaders
                + "\r\n"
                + body;
    }

    /** Writes a text. */
    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        for (Socket socket : mAcceptedSockets) {
            socket.close();
        }
    }

    private void acceptConnections(Script script) {
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                mAcceptedSockets.add(socket);
                startDaemonThread(() -> serve(script, socket));
            } catch (IOException e) {
                return; // The listener was closed.
            }
        }
    }

    private static void serve(Script script, Socket socket) {
        try (socket) {
            script.serve(socket);
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt(); // The client closed the connection.
        }
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }
}
