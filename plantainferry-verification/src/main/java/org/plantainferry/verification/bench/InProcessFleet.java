package org.plantainferry.verification.bench;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.json.Json;
import org.plantainferry.daemon.InstanceDaemon;
import org.plantainferry.daemon.settings.DaemonSettings;
import org.plantainferry.daemon.settings.ListenAddress;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.verification.standin.FreePorts;
import org.plantainferry.verification.standin.store.StoreStandIn;

/** Runs a store and instances in this process; counts the bytes of peers and store. */
final class InProcessFleet implements AutoCloseable {
    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final long POLL_MILLIS = 50;

    private final EventLoopGroup mRelayEventLoops;
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final LongAdder mPeerBytes = new LongAdder();
    private final LongAdder mStoreBytes = new LongAdder();
    private final StoreStandIn mStore;
    private final CountingRelay mStoreRelay;
    private final List<CountingRelay> mPeerRelays = new ArrayList<>();
    private final List<DaemonSettings> mSettings = new ArrayList<>();
    private final List<InstanceDaemon> mDaemons = new ArrayList<>();

    /** Starts one instance for each entry of the list of failure domains. */
    InProcessFleet(
            EventLoopGroup relays,
            List<FailureDomain> domains,
            DaemonSettings.Policy policy,
            Configuration configuration)
            throws IOException, InterruptedException {
        mRelayEventLoops = relays;
        mStore = new StoreStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        mStoreRelay = new CountingRelay(relays, mStore.address(), mStoreBytes);
        putConfiguration(configuration);
        Path secret = Files.createTempFile("bench", ".secret");
        Files.writeString(secret, "0123456789abcdef");
        for (int number = 1; number <= domains.size(); number++) {
            startInstance(number, domains.get(number - 1), policy, secret);
        }
        for (DaemonSettings each : mSettings) {
            awaitReady(each);
        }
        Files.delete(secret);
    }

    private void startInstance(
            int number, FailureDomain domain, DaemonSettings.Policy policy, Path secret)
            throws IOException {
        String host = "127.0.1." + number;
        InstanceId instance = new InstanceId(domain + "-" + number);
        DaemonSettings settings =
                new DaemonSettings(
                        instance,
                        domain,
                        host,
                        new ListenAddress(host, freePort()),
                        new ListenAddress(host, freePort()),
                        new ListenAddress(host, freePort()),
                        hostAndPort(mStoreRelay.address()),
                        List.of(secret),
                        1_000,
                        5_000,
                        false,
                        policy,
                        Optional.empty());
        InetSocketAddress peer = new InetSocketAddress(host, settings.peerListener().port());
        CountingRelay relay = new CountingRelay(mRelayEventLoops, peer, mPeerBytes);
        mPeerRelays.add(relay);
        mStore.putInstance(
                new InstanceRecord(
                        instance,
                        domain,
                        hostAndPort(relay.address()),
                        settings.callerListener().toString(),
                        settings.operatorListener().toString(),
                        "live"));
        InstanceDaemon daemon = new InstanceDaemon(settings);
        daemon.start();
        mSettings.add(settings);
        mDaemons.add(daemon);
    }

    private void awaitReady(DaemonSettings settings) throws IOException, InterruptedException {
        URI ready = URI.create("http://" + settings.operatorListener() + "/health/ready");
        long start = System.nanoTime();
        while (send(HttpRequest.newBuilder(ready)).statusCode() != 200) {
            if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS)) {
                throw new IOException(settings.instance() + " was not ready in time");
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    /** Puts a configuration in force, as the operators' command line does. */
    void putConfiguration(Configuration configuration) throws IOException, InterruptedException {
        URI current =
                URI.create(
                        "http://"
                                + hostAndPort(mStore.address())
                                + "/objects/configuration/current");
        int status =
                send(HttpRequest.newBuilder(current)
                                .PUT(
                                        HttpRequest.BodyPublishers.ofString(
                                                Json.write(configuration))))
                        .statusCode();
        if (status >= 300) {
            throw new IOException("the store answered " + status);
        }
    }

    /** Returns the calls to the store so far, of all kinds; each watch is one call. */
    long storeCalls() throws IOException, InterruptedException {
        return storeCount("reads") + storeCount("writes") + storeCount("watches");
    }

    /** Returns one count of the store. */
    long storeCount(String kind) throws IOException, InterruptedException {
        URI counts = URI.create("http://" + hostAndPort(mStore.address()) + "/control/counts");
        String body =
                send(HttpRequest.newBuilder(counts).POST(HttpRequest.BodyPublishers.noBody()))
                        .body();
        return Json.strict().readTree(body).get(kind).asLong();
    }

    long peerBytes() {
        return mPeerBytes.sum();
    }

    long storeBytes() {
        return mStoreBytes.sum();
    }

    List<String> callerAddresses() {
        return mSettings.stream().map(each -> each.callerListener().toString()).toList();
    }

    private HttpResponse<String> send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return mClient.send(
                request.timeout(Duration.ofSeconds(READY_TIMEOUT_SECONDS)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static int freePort() {
        return FreePorts.allocate("127.0.0.1");
    }

    @Override
    public void close() {
        mDaemons.forEach(InstanceDaemon::close);
        mPeerRelays.forEach(CountingRelay::close);
        mStoreRelay.close();
        mStore.close();
    }
}
