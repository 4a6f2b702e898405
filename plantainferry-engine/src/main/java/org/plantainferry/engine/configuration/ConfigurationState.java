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
 * Decides which configuration is in force: the greatest version that could be read, never an older
 * one again.
 *
 * @since 0.1
 */
public final class ConfigurationState {
    /** The time after which an unanswered fetch is given up and another peer is asked. */
    static final long FETCH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_PEERS_AHEAD = 16;

    private Configuration mCurrent = Configuration.EMPTY;
    private long mNewestVersion;

    /** Peers with a greater version, and that version; those that failed go to the end. */
    private final Map<InstanceId, Long> mVersionByPeerAhead = new LinkedHashMap<>();

    private Optional<InstanceId> mFetchingFrom = Optional.empty();
    private long mFetchStartNanos;

    /** Returns the configuration in force; version 0 before the first one. */
    public Configuration current() {
        return mCurrent;
    }

    /** Returns the greatest version heard of, which may not be in force here yet. */
    public long newestVersion() {
        return Math.max(mNewestVersion, mCurrent.version());
    }

    /** Takes in a configuration as JSON text, from the store or from a peer. */
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

    /** Takes in a configuration. */
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

    /** Takes in the version that a peer has in force. */
    public void onPeerVersion(InstanceId peer, long version) {
        mNewestVersion = Math.max(mNewestVersion, version);
        if (version <= mCurrent.version()) {
            mVersionByPeerAhead.remove(peer);
        } else if (mVersionByPeerAhead.size() < MAX_PEERS_AHEAD
                || mVersionByPeerAhead.containsKey(peer)) {
            mVersionByPeerAhead.put(peer, version);
        }
    }

    /** Takes in that a fetch failed or brought nothing newer; another peer is asked next. */
    public void onFetchFailed(InstanceId peer) {
        Long version = mVersionByPeerAhead.remove(peer);
        if (version != null) {
            mVersionByPeerAhead.put(peer, version);
        }
        if (mFetchingFrom.equals(Optional.of(peer))) {
            mFetchingFrom = Optional.empty();
        }
    }

    /** Returns the fetch that is due; call it after heartbeats and at every tick. */
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
