package org.plantainferry.verification.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.FailureDomain;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.api.json.Json;
import org.plantainferry.daemon.PlantainferrydMain;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.verification.standin.group.GroupSettings;
import org.plantainferry.verification.standin.group.GroupStandInMain;
import org.plantainferry.verification.standin.store.StoreStandIn;

/** Runs one instance and one database group, each as a process of its own, and a store. */
final class SpeedSetup implements AutoCloseable {
    private static final int SLOTS = 256;
    private static final int CONNECTION_LIMIT = 2_000;
    private static final double UNLIMITED_RATE = 1e7;
    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final String FAILURE_DOMAIN = "como-a";

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final Path mDirectory = Files.createTempDirectory("bench");
    private final StoreStandIn mStore =
            new StoreStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    private final List<TargetServer> mServers = new ArrayList<>();
    private final String mCallerAddress = "127.0.0.1:" + InProcessFleet.freePort();
    private final ChildProcess mGroup;
    private final ChildProcess mInstance;
    private long mVersion;

    SpeedSetup(int workspaces) throws IOException, InterruptedException {
        mGroup = startGroup();
        putConfiguration(workspaces);
        mInstance = startInstance();
        long start = System.nanoTime();
        while (!isServing()) {
            if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS)) {
                close();
                throw new IOException("the instance was not ready; see the logs in " + mDirectory);
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    private ChildProcess startGroup() throws IOException {
        List<GroupSettings.Server> servers = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            String address = "127.0.0.1:" + InProcessFleet.freePort();
            servers.add(new GroupSettings.Server("ledger-" + number, address));
            mServers.add(
                    new TargetServer(
                            new ServerId("ledger-" + number),
                            address,
                            new FailureDomain(FAILURE_DOMAIN)));
        }
        GroupSettings settings =
                new GroupSettings(
                        "ledger",
                        "127.0.0.1:" + InProcessFleet.freePort(),
                        servers,
                        Optional.of(SLOTS),
                        Optional.of(CONNECTION_LIMIT),
                        Optional.of(CONNECTION_LIMIT),
                        Optional.of(0L),
                        Optional.of(0L),
                        Optional.of(0L),
                        Optional.empty(),
                        Optional.empty());
        Path file = Files.writeString(mDirectory.resolve("group.json"), Json.write(settings));
        return new ChildProcess(
                "2g", mDirectory.resolve("group.log"), GroupStandInMain.class, file.toString());
    }

    private ChildProcess startInstance() throws IOException {
        String peers = "127.0.0.1:" + InProcessFleet.freePort();
        String operators = "127.0.0.1:" + InProcessFleet.freePort();
        Files.writeString(mDirectory.resolve("secret"), "0123456789abcdef");
        String settings =
                Json.write(
                        Map.of(
                                "instance",
                                "como-a-1",
                                "failureDomain",
                                FAILURE_DOMAIN,
                                "localAddress",
                                "127.0.0.1",
                                "callerListener",
                                mCallerAddress,
                                "peerListener",
                                peers,
                                "operatorListener",
                                operators,
                                "store",
                                InProcessFleet.hostAndPort(mStore.address()),
                                "sessionSecretFiles",
                                List.of("secret")));
        Path file = Files.writeString(mDirectory.resolve("instance.json"), settings);
        mStore.putInstance(
                new InstanceRecord(
                        new InstanceId("como-a-1"),
                        new FailureDomain(FAILURE_DOMAIN),
                        peers,
                        mCallerAddress,
                        operators,
                        "live"));
        return new ChildProcess(
                "512m",
                mDirectory.resolve("instance.log"),
                PlantainferrydMain.class,
                "--settings",
                file.toString());
    }

    /** Puts a configuration with a number of workspaces in force. */
    void putConfiguration(int workspaces) throws IOException, InterruptedException {
        Service service = new Service(new ServiceName("ledger"), SLOTS, CONNECTION_LIMIT, mServers);
        List<Service> services = List.of(service);
        Configuration first =
                Configurations.configuration(
                        Configurations.failureDomains(1, FAILURE_DOMAIN),
                        services,
                        Configurations.workspaces(
                                workspaces, UNLIMITED_RATE, UNLIMITED_RATE, services));
        mVersion++;
        Configuration next = new Configuration(mVersion, first.notes(), first.parts());
        URI current =
                URI.create(
                        "http://"
                                + InProcessFleet.hostAndPort(mStore.address())
                                + "/objects/configuration/current");
        HttpRequest request =
                HttpRequest.newBuilder(current)
                        .PUT(HttpRequest.BodyPublishers.ofString(Json.write(next)))
                        .build();
        mClient.send(request, HttpResponse.BodyHandlers.discarding());
    }

    private boolean isServing() throws InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + mCallerAddress
                                                + "/v1/services/ledger/statements"))
                        .header("Authorization", "Bearer " + Configurations.callerKey(0))
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        "{\"statement\": \"GET x\", \"kind\": \"read\"}"))
                        .build();
        try {
            return mClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    String callerAddress() {
        return mCallerAddress;
    }

    /** Returns the addresses of the servers, the primary first. */
    List<String> serverAddresses() {
        return mServers.stream().map(TargetServer::address).toList();
    }

    ChildProcess instance() {
        return mInstance;
    }

    ChildProcess group() {
        return mGroup;
    }

    @Override
    public void close() {
        mInstance.close();
        mGroup.close();
        mStore.close();
    }
}
