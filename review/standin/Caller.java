package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** One session of a requester: a connection with one request outstanding at a time. */
final class Caller implements AutoCloseable {
    private static final AtomicLong LAST_NUMBER = new AtomicLong();

    /** The lines of an answer; it is whole if the last one is READY. */
    record Answer(List<String> lines) {
        boolean isWhole() {
            return !lines.isEmpty() && lines.get(lines.size() - 1).startsWith("READY");
        }

        boolean isDone() {
            return isWhole() && lines.stream().anyMatch(line -> line.startsWith("DONE"));
        }

        String state() {
            return isWhole() ? lines.get(lines.size() - 1).split(" ")[1] : "closed";
        }

        String first() {
            return lines.isEmpty() ? "closed" : lines.get(0);
        }
    }

    private final Socket mSocket = new Socket();
    private final BufferedReader mReader;
    private final Record mRecord;
    private final String mName;
    String lastId = "";

    Caller(Record record, String name, String host, int port, int timeoutMillis)
            throws IOException {
        mRecord = record;
        mName = name;
        mSocket.connect(new InetSocketAddress(host, port), 1_000);
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(timeoutMillis);
        mReader =
                new BufferedReader(
                        new InputStreamReader(mSocket.getInputStream(), StandardCharsets.UTF_8));
    }

    private void write(String line) throws IOException {
        mSocket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    boolean open(String database, String key) throws IOException {
        write("STARTUP " + database + " " + key);
        String line = mReader.readLine();
        return line != null && line.startsWith("READY");
    }

    /** Sends a request and reads its answer, which is not whole if the connection ends. */
    Answer ask(String text) {
        lastId = "r" + LAST_NUMBER.incrementAndGet();
        List<String> lines = new ArrayList<>();
        mRecord.line(mName + " sends " + lastId + " " + text);
        try {
            write("QUERY " + lastId + " " + text);
            for (String line = mReader.readLine(); line != null; line = mReader.readLine()) {
                lines.add(line);
                if (line.startsWith("READY")) {
                    break;
                }
            }
        } catch (IOException e) {
            mRecord.line(mName + " gets " + e + " for " + lastId);
        }
        Answer answer = new Answer(lines);
        mRecord.line(
                mName
                        + " gets for "
                        + lastId
                        + " "
                        + (answer.isWhole() ? String.join(" | ", lines) : "no whole answer"));
        return answer;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
