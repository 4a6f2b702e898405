package org.plantainferry.verification.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.verification.history.HistoryEvent;
import org.plantainferry.verification.history.HistoryRecorder;
import org.plantainferry.verification.standin.HttpEndpoint;
import org.plantainferry.verification.standin.relay.TcpRelay;
import org.plantainferry.verification.standin.store.StoreStandIn;

/** Starts, signals and ends the instances of a scenario, each on a loopback address of its own. */
final class ScenarioFleet implements AutoCloseable {
    private static final String RELAY_HOST = "127.0.0.1";
    private static final long READY_SECONDS = 40;
    private static final int WARM_UP_ROUNDS = 60;
    private static final long WARM_UP_PAUSE_MILLIS = 10;
    private static final long WARM_UP_TIMEOUT_SECONDS = 10;
    private static final long READY_POLL_MILLIS = 100;

    private final HttpClient mHttp =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final Map<String, DaemonProcess> mProcesses = new ConcurrentHashMap<>();
    private final Map<String, String> mDomains = new LinkedHashMap<>();
    private final Map<String, String> mIps = new LinkedHashMap<>();
    private final StoreStandIn mStore;
    private final TcpRelay mRelay;
    private final HistoryRecorder mRecorder;
    private final Path mDirectory;

    ScenarioFleet(
            Scenario scenario,
            StoreStandIn store,
            TcpRelay relay,
            HistoryRecorder recorder,
            Path directory) {
        mStore = store;
        mRelay = relay;
        mRecorder = recorder;
        mDirectory = directory;
        int domainNumber = 0;
        for (String domain : scenario.deployment().domains()) {
            domainNumber++;
            for (int number = 1; number <= scenario.instancesPerDomain(); number++) {
                String name = domain + "-" + number;
                mDomains.put(name, domain);
                mIps.put(name, "127.0." + domainNumber + "." + number);
            }
        }
    }

    void startAll() throws InterruptedException {
        instanceNames().forEach(name -> start(name, 1));
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        for (String name : instanceNames()) {
            while (!isReady(name)) {
                if (System.nanoTime() - deadline > 0) {
                    throw new IllegalStateException(
                            name + " was not ready after " + READY_SECONDS + " s; see its log");
                }
                TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
            }
        }
    }

    List<String> instanceNames() {
        return List.copyOf(mDomains.keySet());
    }

    List<String> instancesInDomain(String domain) {
        return instanceNames().stream().filter(name -> mDomains.get(name).equals(domain)).toList();
    }

    String failureDomainOf(String name) {
        return mDomains.get(name);
    }

    String ipOf(String name) {
        return mIps.get(name);
    }

    DaemonProcess process(String name) {
        return mProcesses.get(name);
    }

    String callerAddress(String name) {
        return mProcesses.get(name).instanceRecord().callerAddress();
    }

    String peerListenAddress(String name) {
        return mProcesses.get(name).peerListenAddress();
    }

    void kill(String name) {
        recordEvent(HistoryEvent.Kind.INSTANCE_KILLED, name);
        DaemonProcess process = process(name);
        process.kill();
        mStore.deleteInstance(process.instanceRecord().id().value());
    }

    void freeze(String name) {
        recordEvent(HistoryEvent.Kind.INSTANCE_FROZEN, name);
        process(name).signal("STOP");
    }

    void thaw(String name) {
        process(name).signal("CONT");
        recordEvent(HistoryEvent.Kind.INSTANCE_THAWED, name);
    }

    /** Sends SIGTERM and shows the instance as leaving until its process has ended. */
    void terminate(String name) {
        recordEvent(HistoryEvent.Kind.INSTANCE_TERMINATED, name);
        DaemonProcess process = process(name);
        InstanceRecord live = process.instanceRecord();
        mStore.putInstance(
                new InstanceRecord(
                        live.id(),
                        live.failureDomain(),
                        live.peerAddress(),
                        live.callerAddress(),
                        live.operatorAddress(),
                        "leaving"));
        process.signal("TERM");
        process.process().onExit().thenRun(() -> mStore.deleteInstance(live.id().value()));
    }

    /** Starts an instance again; a process that is still there is waited for and then killed. */
    void restart(String name) {
        DaemonProcess old = process(name);
        try {
            if (!old.process().waitFor(READY_SECONDS, TimeUnit.SECONDS)) {
                kill(name);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        start(name, old.incarnation() + 1);
    }

    private void start(String name, int incarnation) {
        DaemonProcess.InstanceSpec place =
                new DaemonProcess.InstanceSpec(
                        name, mDomains.get(name), mIps.get(name), incarnation);
        InetSocketAddress store = mStore.address();
        DaemonProcess process =
                DaemonProcess.start(
                        place, RELAY_HOST + ":" + store.getPort(), mDirectory, this::addRelayRoute);
        mProcesses.put(name, process);
        mStore.putInstance(process.instanceRecord());
        recordEvent(HistoryEvent.Kind.INSTANCE_STARTED, name);
    }

    private String addRelayRoute(String peerAddress) {
        InetSocketAddress listen = new InetSocketAddress(RELAY_HOST, 0);
        InetSocketAddress relay = mRelay.addRoute(listen, HttpEndpoint.parseAddress(peerAddress));
        return RELAY_HOST + ":" + relay.getPort();
    }

    private boolean isReady(String name) throws InterruptedException {
        if (!process(name).process().isAlive()) {
            throw new IllegalStateException(name + " ended while starting; see its log");
        }
        return getFromOperatorListener(name, "/health/ready").isPresent();
    }

    /** Returns the body of the operators' endpoint; empty without an answer of status 200. */
    Optional<String> getFromOperatorListener(String name, String path) throws InterruptedException {
        URI uri = URI.create("http://" + process(name).instanceRecord().operatorAddress() + path);
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build();
        try {
            HttpResponse<String> answer = mHttp.send(request, HttpResponse.BodyHandlers.ofString());
            return Optional.of(answer).filter(a -> a.statusCode() == 200).map(HttpResponse::body);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Sends reads to every instance that are not recorded, so that its code is compiled. */
    void warmUp() throws InterruptedException {
        String body = "{\"statement\":\"GET warm-up\"}";
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            List<CompletableFuture<HttpResponse<Void>>> calls = new ArrayList<>();
            for (String name : instanceNames()) {
                URI uri =
                        URI.create(
                                "http://"
                                        + callerAddress(name)
                                        + "/v1/open/"
                                        + InitialConfiguration.OPEN_ROUTE);
                HttpRequest request =
                        HttpRequest.newBuilder(uri)
                                .timeout(Duration.ofSeconds(WARM_UP_TIMEOUT_SECONDS))
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build();
                calls.add(mHttp.sendAsync(request, HttpResponse.BodyHandlers.discarding()));
            }
            for (CompletableFuture<HttpResponse<Void>> call : calls) {
                call.handle((answer, failure) -> answer).join();
            }
            TimeUnit.MILLISECONDS.sleep(WARM_UP_PAUSE_MILLIS);
        }
    }

    void recordEvent(HistoryEvent.Kind kind, String subject) {
        mRecorder.add(new HistoryEvent(System.nanoTime(), kind, subject, 0));
    }

    @Override
    public void close() {
        mProcesses.values().forEach(DaemonProcess::kill);
    }
}
