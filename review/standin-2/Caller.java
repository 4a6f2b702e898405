import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Stands in for a requester with one session. */
final class Caller implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong();
    private final Socket mSocket = new Socket();
    private final InputStream mInput;
    private final Record mRecord;
    private final String mName;
    private String mLastId;

    Caller(Record record, String name, String address) throws IOException {
        mRecord = record;
        mName = name;
        String[] parts = address.split(":");
        mSocket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 2_000);
        mSocket.setSoTimeout(6_000);
        mSocket.setTcpNoDelay(true);
        mInput = new BufferedInputStream(mSocket.getInputStream());
    }

    /** Opens the session; returns the line of the answer, empty if the connection was closed. */
    String open(String database, String key) throws IOException {
        write("STARTUP " + database + " " + key);
        String line = Group.readLine(mInput);
        mRecord.line(mName, "STARTUP " + database + " -> " + line);
        return line == null ? "" : line;
    }

    /** Returns the id of the last statement. */
    String lastId() {
        return mLastId;
    }

    /** Runs one statement; returns the lines of its answer, fewer if the connection was closed. */
    List<String> query(String text) throws IOException {
        mLastId = String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
        double sent = mRecord.seconds();
        write("QUERY " + mLastId + " " + text);
        List<String> lines = new ArrayList<>();
        String line = Group.readLine(mInput);
        while (line != null) {
            lines.add(line);
            if (line.startsWith("READY")) {
                break;
            }
            line = Group.readLine(mInput);
        }
        mRecord.line(mName, String.format("sent at %.3f: %s %s -> %s", sent, mLastId, text, lines));
        return lines;
    }

    /** Runs one statement; returns whether it succeeded. */
    boolean succeeds(String text) throws IOException {
        return query(text).stream().anyMatch(line -> line.startsWith("DONE"));
    }

    private void write(String line) throws IOException {
        mSocket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
