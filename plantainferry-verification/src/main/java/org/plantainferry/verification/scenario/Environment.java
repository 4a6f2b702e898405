package org.plantainferry.verification.scenario;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.network.store.HttpPlatformStore;
import org.plantainferry.network.store.PlatformStore;
import org.plantainferry.network.store.StoreTimeouts;
import org.plantainferry.verification.history.GroupTruth;
import org.plantainferry.verification.history.HistoryRecorder;
import org.plantainferry.verification.standin.relay.TcpRelay;
import org.plantainferry.verification.standin.store.StoreStandIn;

/** Holds everything that runs during a scenario, and ends all of it. */
final class Environment implements AutoCloseable {
    private static final String SESSION_SECRET = "scenario-session-secret";
    private static final long MEMBERSHIP_WAIT_MILLIS = 2_000;

    private final Scenario mScenario;
    private final HistoryRecorder mRecorder;
    private final StoreStandIn mStoreStandIn;
    private final TcpRelay mRelay = new TcpRelay();
    private final DatabaseGroups mGroups;
    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PlatformStore mPlatformStore;
    private final ConfigurationWriter mConfigurationWriter;
    private final ScenarioFleet mFleet;
    private final Map<String, String> mKeys;

    Environment(Scenario scenario, Path directory, HistoryRecorder recorder) throws IOException {
        mScenario = scenario;
        mRecorder = recorder;
        mStoreStandIn = new StoreStandIn(new InetSocketAddress("127.0.0.1", 0));
        mGroups = new DatabaseGroups(scenario.deployment());
        mPlatformStore =
                new HttpPlatformStore(
                        mEventLoops,
                        "127.0.0.1:" + mStoreStandIn.address().getPort(),
                        Optional.empty(),
                        StoreTimeouts.DEFAULT);
        mConfigurationWriter = new ConfigurationWriter(mPlatformStore, recorder);
        mFleet = new ScenarioFleet(scenario, mStoreStandIn, mRelay, recorder, directory);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
        mKeys = InitialConfiguration.generateKeys(scenario, random);
        mKeys.values().forEach(key -> mGroups.all().forEach(group -> group.forbid(key)));
        Files.writeString(directory.resolve("secret"), SESSION_SECRET);
    }

    void start() throws InterruptedException {
        mConfigurationWriter.writeInitial(InitialConfiguration.build(mScenario, mGroups, mKeys));
        mFleet.startAll();
        // Membership and shares need a few heartbeats before the load means anything.
        TimeUnit.MILLISECONDS.sleep(MEMBERSHIP_WAIT_MILLIS);
        mFleet.warmUp();
    }

    SessionTokenCodec sessionTokenCodec() {
        return new SessionTokenCodec(List.of(SESSION_SECRET.getBytes(StandardCharsets.UTF_8)));
    }

    Scenario scenario() {
        return mScenario;
    }

    HistoryRecorder recorder() {
        return mRecorder;
    }

    StoreStandIn store() {
        return mStoreStandIn;
    }

    TcpRelay relay() {
        return mRelay;
    }

    DatabaseGroups groups() {
        return mGroups;
    }

    ScenarioFleet fleet() {
        return mFleet;
    }

    ConfigurationWriter configurationWriter() {
        return mConfigurationWriter;
    }

    String key(String keyId) {
        return mKeys.get(keyId);
    }

    Map<String, GroupTruth> truths() {
        Map<String, GroupTruth> truths = new TreeMap<>();
        mScenario.deployment().services().forEach(s -> truths.put(s, mGroups.finalTruth(s)));
        return truths;
    }

    @Override
    public void close() {
        mFleet.close();
        mPlatformStore.close();
        mEventLoops.shutdownGracefully(0, MEMBERSHIP_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        mGroups.close();
        mRelay.close();
        mStoreStandIn.close();
    }
}
