import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stands in for the platform's calls of singleton duties: {@code POST /promote}. */
final class Cloud implements AutoCloseable {
    /** Holds one call and the status of its answer. */
    record Call(double seconds, String service, String server, String holder, long token, int status) {}

    private final HttpServer mServer;
    private final Record mRecord;
    private final Group mGroup;
    private final boolean mFencing;
    private final Map<String, Long> mNewestTokens = new HashMap<>();
    private final List<Call> mCalls = new ArrayList<>();

    Cloud(Record record, Group group, boolean fencing) throws IOException {
        mRecord = record;
        mGroup = group;
        mFencing = fencing;
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        mServer.setExecutor(Executors.newCachedThreadPool(Store::daemon));
        mServer.createContext("/promote", this::promote);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    synchronized List<Call> calls() {
        return List.copyOf(mCalls);
    }

    private void promote(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, Object> order = Json.object(body);
        String service = (String) order.get("Service");
        String id = (String) order.get("Id");
        String holder = exchange.getRequestHeaders().getFirst("X-Lease-Holder");
        long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
        int status;
        synchronized (this) {
            boolean isLower = token < mNewestTokens.getOrDefault(service, Long.MIN_VALUE);
            status = mFencing && isLower ? 409 : mGroup.promote(id);
            mNewestTokens.merge(service, token, Math::max);
            mCalls.add(new Call(mRecord.seconds(), service, id, holder, token, status));
            mRecord.line("platform", "promote " + service + " " + id + " holder " + holder + " fence token " + token + " -> " + status);
        }
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
