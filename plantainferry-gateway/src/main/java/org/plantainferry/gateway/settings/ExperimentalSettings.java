package org.plantainferry.gateway.settings;

import java.util.List;
import java.util.Locale;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.hosting.HostMode;

/**
 * Selects between ways of working that are compared with each other.
 *
 * @param storeFollowing how the instances follow the store; one of {@link #STORE_FOLLOWING_WAYS}
 * @param serverRoom how many statements may be in progress at a server; one of {@link
 *     #SERVER_ROOM_WAYS}
 * @param statementHosts whether statements are passed to the instance that holds the connections;
 *     one of {@link #STATEMENT_HOST_WAYS}
 * @since 0.3
 */
public record ExperimentalSettings(
        String storeFollowing, String serverRoom, String statementHosts) {
    /** Each instance watches the store. */
    public static final String DIRECT = "direct";

    /** One instance of each failure domain watches the store, and the others follow it. */
    public static final String DOMAIN = "domain";

    /** The permitted values of {@code storeFollowing}. */
    public static final List<String> STORE_FOLLOWING_WAYS = List.of(DIRECT, DOMAIN);

    /** Each instance learns how many statements a server takes well. */
    public static final String LEARNED = "learned";

    /** An instance sends a statement as soon as it has a connection. */
    public static final String UNLIMITED = "unlimited";

    /** The permitted values of {@code serverRoom}. */
    public static final List<String> SERVER_ROOM_WAYS = List.of(LEARNED, UNLIMITED);

    /** Statements are passed to a host where the configuration calls for it. */
    public static final String AUTOMATIC = "automatic";

    /** Statements are always passed to a host. */
    public static final String ALWAYS = "always";

    /** Each instance sends its statements itself. */
    public static final String NEVER = "never";

    /** The permitted values of {@code statementHosts}. */
    public static final List<String> STATEMENT_HOST_WAYS = List.of(AUTOMATIC, ALWAYS, NEVER);

    /** The settings that apply in production. */
    public static final ExperimentalSettings NONE =
            new ExperimentalSettings(DOMAIN, LEARNED, NEVER);

    /** Returns the settings that apply in production, except how the store is followed. */
    public static ExperimentalSettings following(String storeFollowing) {
        return new ExperimentalSettings(storeFollowing, NONE.serverRoom(), NONE.statementHosts());
    }

    /** Returns when statements are passed to a host. */
    public HostMode hostMode() {
        return HostMode.valueOf(statementHosts.toUpperCase(Locale.ROOT));
    }

    /** Validates all values. */
    public ExperimentalSettings {
        Preconditions.condition(
                STORE_FOLLOWING_WAYS.contains(storeFollowing),
                "storeFollowing must be one of " + STORE_FOLLOWING_WAYS);
        Preconditions.condition(
                SERVER_ROOM_WAYS.contains(serverRoom),
                "serverRoom must be one of " + SERVER_ROOM_WAYS);
        Preconditions.condition(
                STATEMENT_HOST_WAYS.contains(statementHosts),
                "statementHosts must be one of " + STATEMENT_HOST_WAYS);
    }

    // Written out, because a generated method is linked at run time in each process.
    @Override
    public boolean equals(Object other) {
        return other instanceof ExperimentalSettings that
                && storeFollowing.equals(that.storeFollowing)
                && serverRoom.equals(that.serverRoom)
                && statementHosts.equals(that.statementHosts);
    }

    @Override
    public int hashCode() {
        int hash = storeFollowing.hashCode();
        hash = 31 * hash + serverRoom.hashCode();
        hash = 31 * hash + statementHosts.hashCode();
        return hash;
    }
}
