package org.plantainferry.engine.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.json.Json;

/**
 * Keeps the configuration in force: the greatest version that could be parsed. The version in force
 * never decreases.
 *
 * @since 0.1
 */
public final class ConfigurationState {
    /** The time after which an unanswered fetch counts as failed and another peer is tried. */
    static final long FETCH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_PEERS_AHEAD = 16;

    private Configuration mCurrent = Configuration.EMPTY;
    private long mNewestVersion;

    /**
     * The peers with a greater version, mapped to that version; a peer moves to the end when a
     * fetch from it fails.
     */
    private final Map<InstanceId, Long> mVersionByPeerAhead = new LinkedHashMap<>();

    private Optional<InstanceId> mFetchingFrom = Optional.empty();
    private long mFetchStartNanos;

    /** Returns the configuration in force; version 0 before the first one. */
    public Configuration current() {
        return mCurrent;
    }

    /** Returns the greatest known version, which may not be in force on this instance yet. */
    public long newestVersion() {
        return Math.max(mNewestVersion, mCurrent.version());
    }

    /** Offers a configuration as JSON text, from the store or from a peer. */
    public ConfigurationOutcome offer(String json) {
        Preconditions.notNull(json, "json");
        Configuration offered;
        try {
            offered = Json.read(json, Configuration.class, ErrorCode.CONFIGURATION_INVALID);
        } catch (PlantainferryException e) {
            return new ConfigurationOutcome.Malformed(e.getMessage(), claimedVersion(json));
        }
        return offer(offered);
    }

    /**
     * Offers a configuration; it comes into force if its version is greater than the current one.
     */
    public ConfigurationOutcome offer(Configuration offered) {
        Preconditions.notNull(offered, "offered");
        if (offered.version() <= mCurrent.version()) {
            return new ConfigurationOutcome.NotNewer(offered.version());
        }
        Configuration previous = mCurrent;
        mCurrent = offered;
        mVersionByPeerAhead.values().removeIf(version -> version <= offered.version());
        if (mFetchingFrom.isPresent() && !mVersionByPeerAhead.containsKey(mFetchingFrom.get())) {
            mFetchingFrom = Optional.empty();
        }
        return new ConfigurationOutcome.Accepted(
                previous, offered, WithdrawnKeys.between(previous, offered));
    }

    /** Records the version that a peer has in force. */
    public void onPeerVersion(InstanceId peer, long version) {
        mNewestVersion = Math.max(mNewestVersion, version);
        if (version <= mCurrent.version()) {
            mVersionByPeerAhead.remove(peer);
        } else if (mVersionByPeerAhead.size() < MAX_PEERS_AHEAD
                || mVersionByPeerAhead.containsKey(peer)) {
            mVersionByPeerAhead.put(peer, version);
        }
    }

    /**
     * Records that a fetch failed or returned no newer version; the next fetch uses another peer if
     * there is one.
     */
    public void onFetchFailed(InstanceId peer) {
        Long version = mVersionByPeerAhead.remove(peer);
        if (version != null) {
            mVersionByPeerAhead.put(peer, version);
        }
        if (mFetchingFrom.equals(Optional.of(peer))) {
            mFetchingFrom = Optional.empty();
        }
    }

    /**
     * Returns the fetch that is due, if any, and records it as started; call it after heartbeats
     * and at every tick.
     */
    public Optional<ConfigurationFetch> nextFetch(long nowNanos) {
        if (mFetchingFrom.isPresent()) {
            if (nowNanos - mFetchStartNanos < FETCH_TIMEOUT_NANOS) {
                return Optional.empty();
            }
            onFetchFailed(mFetchingFrom.get());
        }
        Iterator<InstanceId> peers = mVersionByPeerAhead.keySet().iterator();
        if (!peers.hasNext()) {
            return Optional.empty();
        }
        InstanceId peer = peers.next();
        mFetchingFrom = Optional.of(peer);
        mFetchStartNanos = nowNanos;
        return Optional.of(new ConfigurationFetch(peer, mCurrent.version()));
    }

    private static Optional<Long> claimedVersion(String json) {
        try {
            JsonNode version = Json.strict().readTree(json).path("version");
            return version.canConvertToLong() ? Optional.of(version.longValue()) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
