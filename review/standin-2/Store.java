import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stands in for the platform's metadata store (PROTOCOL.md), with the drill of the news page: it is
 * away for a moment and comes back from a copy.
 */
final class Store implements AutoCloseable {
    private static final String OBJECTS = "/plantainferry/objects/";
    /** The time that the store takes for a call, as the sheets give it. */
    static final long CALL_MILLIS = 4;

    private record Change(long revision, String kind, Map<String, Object> object, boolean removed) {}

    /** Holds a copy of all objects, with the revision at which it was made. */
    record Copy(long revision, long takenNanos, Map<String, TreeMap<String, Map<String, Object>>> objects) {}

    private final HttpServer mServer;
    private final Record mRecord;
    private Map<String, TreeMap<String, Map<String, Object>>> mObjects = new TreeMap<>();
    private List<Change> mHistory = new ArrayList<>();
    private long mHistoryStart;
    private long mRevision = 100;
    private long mEra = 1;
    private boolean mAway;

    Store(Record record) throws IOException {
        mRecord = record;
        mHistoryStart = mRevision;
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        mServer.setExecutor(Executors.newCachedThreadPool(Store::daemon));
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    synchronized long revision() {
        return mRevision;
    }

    /** Writes an object for the operator or a server; returns once it is acknowledged. */
    synchronized long put(String writer, String kind, String name, Map<String, Object> spec) {
        Map<String, Object> before = mObjects.getOrDefault(kind, new TreeMap<>()).get(name);
        if (before != null && Objects.equals(before.get("spec"), spec)) {
            return mRevision;
        }
        mRevision++;
        Map<String, Object> meta = new LinkedHashMap<>();
        meta.put("Name", name);
        meta.put("Rev", mRevision);
        meta.put("Created", before == null ? mRevision : meta(before).get("Created"));
        meta.put("Finalizers", List.of());
        meta.put("Deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("meta", meta);
        object.put("spec", spec);
        object.put("status", null);
        mObjects.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        mHistory.add(new Change(mRevision, kind, object, false));
        mRecord.line("store", "revision " + mRevision + " " + writer + " writes " + kind + "/" + name + " " + Json.write(spec));
        notifyAll();
        return mRevision;
    }

    synchronized void remove(String kind, String name) {
        TreeMap<String, Map<String, Object>> objects = mObjects.getOrDefault(kind, new TreeMap<>());
        Map<String, Object> object = objects.remove(name);
        if (object != null) {
            mRevision++;
            mHistory.add(new Change(mRevision, kind, object, true));
            mRecord.line("store", "revision " + mRevision + " removed " + kind + "/" + name);
            notifyAll();
        }
    }

    synchronized Copy copy() {
        mRecord.line("store", "a copy is made at revision " + mRevision);
        return new Copy(mRevision, System.nanoTime(), deepCopy(mObjects));
    }

    private static Map<String, TreeMap<String, Map<String, Object>>> deepCopy(
            Map<String, TreeMap<String, Map<String, Object>>> objects) {
        Map<String, TreeMap<String, Map<String, Object>>> copy = new TreeMap<>();
        objects.forEach((kind, byName) -> copy.put(kind, new TreeMap<>(byName)));
        return copy;
    }

    /** Answers all calls with 503 from now on, and cuts waiting watches. */
    synchronized void goAway() {
        mRecord.line("store", "is away, at revision " + mRevision);
        mAway = true;
        notifyAll();
    }

    /** Comes back from a copy: what was written since is gone, revisions go back, the era rises. */
    synchronized void comeBackFrom(Copy copy) {
        mObjects = deepCopy(copy.objects());
        mHistory = new ArrayList<>();
        mHistoryStart = copy.revision();
        mRevision = copy.revision();
        mEra++;
        mAway = false;
        mRecord.line("store", String.format("is back from a copy that is %.1f s old, era %d, revision %d", (System.nanoTime() - copy.takenNanos()) / 1e9, mEra, mRevision));
    }

    synchronized void comeBack() {
        mAway = false;
        mRecord.line("store", "is back with all that it had, era " + mEra + ", revision " + mRevision);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = new TreeMap<>();
        if (exchange.getRequestURI().getQuery() != null) {
            for (String pair : exchange.getRequestURI().getQuery().split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts[1]);
            }
        }
        String caller = exchange.getRemoteAddress().getAddress().getHostAddress();
        try {
            answer(exchange, caller, path.substring(OBJECTS.length()).split("/"), query, body);
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private synchronized void answer(
            HttpExchange exchange,
            String caller,
            String[] path,
            Map<String, String> query,
            String body)
            throws IOException, InterruptedException {
        if (mAway) {
            send(exchange, 503, Map.of());
            return;
        }
        TreeMap<String, Map<String, Object>> objects = mObjects.getOrDefault(path[0], new TreeMap<>());
        Map<String, Object> current = path.length > 1 ? objects.get(path[1]) : null;
        switch (exchange.getRequestMethod()) {
            case "GET" -> {
                if (path.length > 1) {
                    send(exchange, current == null ? 404 : 200, current == null ? Map.of() : current);
                } else if (query.containsKey("Watch")) {
                    watch(exchange, path[0], query);
                } else {
                    Map<String, Object> list = new LinkedHashMap<>();
                    list.put("items", new ArrayList<>(objects.values()));
                    list.put("Truncated", false);
                    list.put("StoreRevision", mRevision);
                    send(exchange, 200, list);
                }
            }
            case "POST" -> {
                Map<String, Object> object = Json.object(body);
                String name = (String) meta(object).get("Name");
                if (objects.containsKey(name)) {
                    send(exchange, 409, objects.get(name));
                } else {
                    put(caller, path[0], name, spec(object));
                    send(exchange, 201, mObjects.get(path[0]).get(name));
                }
            }
            case "PUT" -> {
                Map<String, Object> object = Json.object(body);
                Object expected = query.containsKey("Rev") ? query.get("Rev") : meta(object).get("Rev");
                if (current == null) {
                    send(exchange, 404, Map.of());
                } else if (expected != null && !expected.toString().equals(meta(current).get("Rev").toString())) {
                    send(exchange, 409, current);
                } else {
                    put(caller, path[0], path[1], spec(object));
                    send(exchange, 200, mObjects.get(path[0]).get(path[1]));
                }
            }
            default -> {
                remove(path[0], path[1]);
                send(exchange, 200, Map.of());
            }
        }
    }

    private void watch(HttpExchange exchange, String kind, Map<String, String> query)
            throws IOException, InterruptedException {
        long from = Long.parseLong(query.get("Watch"));
        long era = mEra;
        long endNanos = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000L;
        while (true) {
            if (mAway) {
                send(exchange, 503, Map.of());
                return;
            }
            if (from < mHistoryStart || from > mRevision || era != mEra) {
                mRecord.line("store", "410 to a watch of " + kind + " from " + from);
                send(exchange, 410, Map.of());
                return;
            }
            List<Object> events = new ArrayList<>();
            for (Change change : mHistory) {
                if (change.revision() > from && change.kind().equals(kind)) {
                    events.add(Map.of("Object", change.object(), "Removed", change.removed()));
                }
            }
            long leftNanos = endNanos - System.nanoTime();
            if (!events.isEmpty() || leftNanos <= 0) {
                Map<String, Object> page = new LinkedHashMap<>();
                page.put("events", events);
                page.put("StoreRevision", mRevision);
                send(exchange, 200, page);
                return;
            }
            wait(Math.max(1, leftNanos / 1_000_000L));
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> meta(Map<String, Object> object) {
        return (Map<String, Object>) object.get("meta");
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> spec(Map<String, Object> object) {
        return (Map<String, Object>) object.get("spec");
    }

    /** Answers after the time that a call takes, with the state of now. */
    private void send(HttpExchange exchange, int status, Object body) {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", Long.toString(mEra));
        daemon(
                        () -> {
                            Group.sleep(CALL_MILLIS);
                            try (exchange) {
                                exchange.sendResponseHeaders(status, bytes.length);
                                exchange.getResponseBody().write(bytes);
                            } catch (IOException e) {
                                mRecord.line("store", "an answer was not taken: " + e.getMessage());
                            }
                        })
                .start();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
