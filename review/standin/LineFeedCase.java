package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Requesters write and read texts of several lines. A line of the wire ends with CR LF, so a single
 * LF is a part of the last field.
 *
 * <p>Compares the statements that servers ran with those that were sent, as the rule UNASKED does,
 * and the rows of answers with those of the servers, as the rule MIXED does.
 */
final class LineFeedCase {
    private static final String TENANT_TEXT = "first line%ssecond line";
    private static final String SMUGGLED_ID = "x1";

    private static final Map<String, String> SENT = new TreeMap<>();

    public static void main(String[] arguments) throws Exception {
        Setup setup = new Setup(arguments[0], true, 5, 20);
        // Without the disruption, a blank takes the place of the line feed.
        String separator = setup.trouble ? "\n" : " ";
        setup.startServers("a", "b", "a");
        setup.writeConfiguration(1, 69, 500);
        Gateway gateway = setup.gateway("front-a-1", "a");
        gateway.start();
        if (!gateway.awaitReady(15_000)) {
            setup.exit(2, "the gateway did not become ready");
        }
        List<String> broken = new ArrayList<>();
        ask(setup, gateway, "r1", "WRITE note " + TENANT_TEXT.formatted(separator));
        ask(
                setup,
                gateway,
                "r2",
                "WRITE other text" + separator + "QUERY " + SMUGGLED_ID + " WRITE stolen goods");
        String stored = "row" + separator + "ROW forged";
        setup.group.preload("listing", stored);
        String row = ask(setup, gateway, "r3", "READ listing");
        checkRuns(setup, broken);
        if (row.startsWith("ROW ") && !row.startsWith("ROW " + stored + "\r\nDONE ")) {
            broken.add("MIXED: r3 succeeded with other rows than the server's one");
        }
        broken.forEach(setup.record::note);
        if (setup.group.ran.isEmpty()) {
            setup.exit(2, "no statement ran");
        }
        setup.exit(broken.isEmpty() ? 0 : 1, broken.size() + " breaches");
    }

    private static void checkRuns(Setup setup, List<String> broken) {
        setup.group.ran.forEach(
                (id, text) -> {
                    if (!SENT.containsKey(id)) {
                        broken.add("UNASKED: a server ran " + id + ", which no requester sent");
                    } else if (!SENT.get(id).equals(text)) {
                        broken.add(
                                "UNASKED: %s ran as %s, but was sent as %s"
                                        .formatted(id, visible(text), visible(SENT.get(id))));
                    }
                });
    }

    private static String visible(String text) {
        return "\"" + text.replace("\r", "\\r").replace("\n", "\\n") + "\"";
    }

    /** Sends one message over a session of its own and returns the text of the answer. */
    private static String ask(Setup setup, Gateway gateway, String id, String text)
            throws IOException {
        SENT.put(id, text);
        setup.record.line("caller sends " + id + " " + visible(text));
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.host, gateway.port), 1_000);
            socket.setSoTimeout(3_000);
            write(socket, "STARTUP " + Setup.PRIMARY + " " + Setup.KEY + "\r\n");
            readUntilReady(socket.getInputStream());
            write(socket, "QUERY " + id + " " + text + "\r\n");
            String answer = readUntilReady(socket.getInputStream());
            setup.record.note("caller gets for " + id + " " + visible(answer));
            pause();
            return answer;
        }
    }

    /** Leaves time for statements that the gateway takes out of the message. */
    private static void pause() {
        try {
            Thread.sleep(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads up to the end of the line READY, or to the end of the connection. */
    private static String readUntilReady(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            bytes.write(next);
            String text = bytes.toString(StandardCharsets.UTF_8);
            int start = text.lastIndexOf("READY ");
            boolean isLineStart = start == 0 || (start > 0 && text.charAt(start - 1) == '\n');
            if (isLineStart && text.endsWith("\r\n")) {
                return text;
            }
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
