import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Holds the stand-ins and gateways of one case: one service with three servers. */
final class Setup implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final String SERVICE = "koino7a";
    static final String OTHER_SERVICE = "kafi81c";
    static final String KEY = "u6wsjnbanfqasnmgkcuy";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Record mRecord;
    final Store mStore;
    final Group mGroup;
    final Cloud mCloud;
    final Fleet mFleet;
    private final int mSynchronousReplicas;

    Setup(String directory, boolean fencing, int synchronousReplicas) throws IOException {
        mSynchronousReplicas = synchronousReplicas;
        mRecord = new Record(Path.of(directory));
        mRecord.say(TROUBLE ? "with the disruption" : "without the disruption (TROUBLE=0)");
        mStore = new Store(mRecord);
        mGroup = new Group(mStore, mRecord, SERVICE, synchronousReplicas);
        mCloud = new Cloud(mRecord, mGroup, fencing);
        mGroup.add("i-1", "attica-a");
        mGroup.add("i-2", "attica-b");
        mGroup.add("i-3", "attica-c");
        mFleet = new Fleet(mRecord, mStore, mCloud, fencing);
    }

    /** Adds the servers of a second service. */
    Group addOtherService() throws IOException {
        Group other = new Group(mStore, mRecord, OTHER_SERVICE, 0);
        other.add("k-1", "attica-a");
        other.add("k-2", "attica-b");
        other.add("k-3", "attica-c");
        return other;
    }

    private Map<String, Object> service(String name) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("Name", name);
        service.put("HealthPath", "/healthz");
        service.put("MaxConns", 69L);
        service.put("SyncReplicas", (long) mSynchronousReplicas);
        return service;
    }

    static Map<String, Object> route(String host, String kind, int timeoutMillis, boolean isPublic) {
        return route(host, SERVICE, kind, timeoutMillis, isPublic);
    }

    /** Returns a route as the operator writes it. */
    static Map<String, Object> route(String host, String service, String kind, int timeoutMillis, boolean isPublic) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("Name", "r-" + host);
        route.put("Host", host);
        route.put("PathPrefix", "/");
        route.put("Kind", kind);
        route.put("TimeoutMs", (long) timeoutMillis);
        route.put("SloMs", 400L);
        route.put("Priority", 2L);
        route.put("Service", service);
        route.put("Attempts", 2L);
        if (!kind.equals("primary")) {
            route.put("MaxStaleMs", 1_500L);
        }
        route.put("Public", isPublic);
        return route;
    }

    /** Writes a configuration; returns the time of its acknowledgement. */
    double configure(long version, List<Map<String, Object>> routes, List<String> keys, long ratePerSecond) {
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("Name", "nypu920");
        tenant.put("ApiKeys", new ArrayList<Object>(keys));
        tenant.put("Priority", 1L);
        tenant.put("RatePerS", ratePerSecond);
        tenant.put("Burst", ratePerSecond);
        Map<String, Object> spec = new LinkedHashMap<>();
        spec.put("Version", version);
        spec.put("Routes", new ArrayList<Object>(routes));
        spec.put("Services", List.of(service(SERVICE), service(OTHER_SERVICE)));
        spec.put("Limits", Map.of("TxIdleMs", 3_000L));
        spec.put("Tenants", List.of(tenant));
        mStore.put("operator", "config", "main", spec);
        return mRecord.seconds();
    }

    @Override
    public void close() {
        mFleet.close();
        mCloud.close();
        mStore.close();
    }
}
