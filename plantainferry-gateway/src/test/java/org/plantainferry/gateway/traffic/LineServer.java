package org.plantainferry.gateway.traffic;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.CallerMessage;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.ServerMessage;
import org.plantainferry.gateway.statement.ServerStatus;
import org.plantainferry.gateway.statement.SessionMode;
import org.plantainferry.gateway.statement.Statement;

/** Simulates a server that answers each read after a moment, or drops the connection instead. */
final class LineServer implements AutoCloseable {
    /** The end of the ids of the requests whose connection is dropped. */
    static final String DROP = "drop";

    private static final long WORK_NANOS = 2_000_000;

    private final ServerSocket mListener =
            new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mRefusals = new AtomicInteger();
    private final AtomicInteger mWorking = new AtomicInteger();
    private final AtomicInteger mMaxConcurrency = new AtomicInteger();
    private final AtomicInteger mAnswers = new AtomicInteger();

    /** Converts the messages that the server knows. */
    static final class Format implements WireFormat {
        @Override
        public CallerMessage readCallerLine(String line) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ServerMessage readServerLine(String line) {
            if (line.equals("READY")) {
                return new ServerMessage.Ready(SessionMode.IDLE, Optional.empty());
            }
            return line.equals("FULL")
                    ? new ServerMessage.Failed(FailureCode.TOO_MANY_CONNECTIONS, "full")
                    : new ServerMessage.Done(line);
        }

        @Override
        public String openSession(String service, String workspace, String expectedServer) {
            return "OPEN " + workspace;
        }

        @Override
        public String statement(
                Optional<String> requestId, Optional<LogPosition> required, Statement statement) {
            return "RUN " + requestId.orElseThrow();
        }

        @Override
        public String row(String data) {
            throw new UnsupportedOperationException();
        }

        @Override
        public String done(Optional<String> signature) {
            throw new UnsupportedOperationException();
        }

        @Override
        public String failed(FailureCode code, String text) {
            throw new UnsupportedOperationException();
        }

        @Override
        public String ready(SessionMode mode) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<ServerStatus> readStatus(List<String> rows) {
            return Optional.empty();
        }
    }

    LineServer() throws IOException {
        startThread(this::acceptConnections);
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "line server");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Makes the server refuse the next connections for lack of connections. */
    void refuseOpenings(int count) {
        mRefusals.set(count);
    }

    /** Returns how many of those connections the server has yet to refuse. */
    int refusalsLeft() {
        return mRefusals.get();
    }

    /** Returns the greatest number of reads that were in progress at a time. */
    int maxConcurrency() {
        return mMaxConcurrency.get();
    }

    private void acceptConnections() {
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                mSockets.add(socket);
                startThread(() -> serve(socket));
            } catch (IOException e) {
                return; // The listener was closed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket;
                BufferedReader reader =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                Optional<String> answer = line.startsWith("OPEN") ? open() : run(line);
                if (answer.isEmpty()) {
                    return;
                }
                socket.getOutputStream().write(answer.get().getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            mSockets.remove(socket);
        }
    }

    private Optional<String> open() {
        boolean isRefused = mRefusals.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
        return Optional.of(isRefused ? "FULL\r\n" : "READY\r\n");
    }

    private Optional<String> run(String line) {
        int working = mWorking.incrementAndGet();
        mMaxConcurrency.accumulateAndGet(working, Math::max);
        LockSupport.parkNanos(WORK_NANOS);
        mWorking.decrementAndGet();
        if (line.endsWith(DROP)) {
            return Optional.empty();
        }
        return Optional.of("signature-" + mAnswers.incrementAndGet() + "\r\nREADY\r\n");
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }
}
