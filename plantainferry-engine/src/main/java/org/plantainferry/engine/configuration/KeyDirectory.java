package org.plantainferry.engine.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.CallerKey;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.api.configuration.OpenRoute;
import org.plantainferry.api.configuration.Workspace;

/**
 * Finds the workspace of a key in one configuration version; immutable, for the traffic threads.
 *
 * @since 0.1
 */
public final class KeyDirectory {
    /** The time after which a caller refused for a stale configuration can come back. */
    public static final long STALE_RETRY_MILLIS = 1_000;

    /** The directory before the first configuration. */
    public static final KeyDirectory EMPTY = new KeyDirectory(Configuration.EMPTY);

    private final long mVersion;
    private final Map<String, AuthenticationResult.Granted> mGrantsByKeyHash = new HashMap<>();
    private final Map<KeyReference, AuthenticationResult.Granted> mGrantsByReference =
            new HashMap<>();
    private final Map<String, OpenRoute> mOpenRoutes = new HashMap<>();
    private final Map<WorkspaceName, Workspace> mWorkspaces = new HashMap<>();

    /** Creates the directory of a configuration. */
    public KeyDirectory(Configuration configuration) {
        Preconditions.notNull(configuration, "configuration");
        mVersion = configuration.version();
        for (Workspace workspace : configuration.parts().workspaces()) {
            mWorkspaces.put(workspace.name(), workspace);
            for (CallerKey key : workspace.keys()) {
                KeyReference reference = new KeyReference(workspace.name(), key.id());
                AuthenticationResult.Granted granted =
                        new AuthenticationResult.Granted(workspace, reference);
                mGrantsByKeyHash.put(key.sha256(), granted);
                mGrantsByReference.put(reference, granted);
            }
        }
        for (OpenRoute route : configuration.parts().openRoutes()) {
            mOpenRoutes.put(route.name(), route);
        }
    }

    /** Returns the version of the configuration. */
    public long version() {
        return mVersion;
    }

    /**
     * Decides on a key as the caller presents it.
     *
     * <p>While isolated, an unknown key is refused as stale and not as invalid, because it may have
     * been given in a version that is unknown here.
     *
     * @param key the key; empty when the request has none
     * @param freshness the freshness at this time
     */
    public AuthenticationResult authenticate(Optional<String> key, Freshness freshness) {
        if (key.isEmpty() || key.get().isEmpty()) {
            return new AuthenticationResult.Refused(
                    ErrorCode.KEY_INVALID, "the request has no key", 0);
        }
        return applyFreshness(
                Optional.ofNullable(mGrantsByKeyHash.get(CallerKey.hash(key.get()))), freshness);
    }

    /** Decides again on a key that was accepted before, for queued or forwarded requests. */
    public AuthenticationResult reauthenticate(KeyReference key, Freshness freshness) {
        return applyFreshness(Optional.ofNullable(mGrantsByReference.get(key)), freshness);
    }

    /** Decides whether a workspace may use a service; empty when it may. */
    public Optional<AuthenticationResult.Refused> checkServiceAccess(
            WorkspaceName workspace, ServiceName service) {
        Workspace found = mWorkspaces.get(workspace);
        if (found != null && found.mayUse(service)) {
            return Optional.empty();
        }
        return Optional.of(
                new AuthenticationResult.Refused(
                        ErrorCode.SERVICE_FORBIDDEN,
                        "workspace " + workspace + " may not use service " + service,
                        0));
    }

    /** Returns an open route, which is served whatever the freshness. */
    public Optional<OpenRoute> openRoute(String name) {
        return Optional.ofNullable(mOpenRoutes.get(name));
    }

    /** Returns a workspace. */
    public Optional<Workspace> workspace(WorkspaceName name) {
        return Optional.ofNullable(mWorkspaces.get(name));
    }

    private static AuthenticationResult applyFreshness(
            Optional<AuthenticationResult.Granted> found, Freshness freshness) {
        boolean isolated = freshness == Freshness.ISOLATED;
        if (found.isPresent() && (!isolated || found.get().workspace().acceptsKeysWhenIsolated())) {
            return found.get();
        }
        if (isolated) {
            return new AuthenticationResult.Refused(
                    ErrorCode.CONFIGURATION_STALE,
                    "this instance cannot confirm that the key is valid",
                    STALE_RETRY_MILLIS);
        }
        return new AuthenticationResult.Refused(
                ErrorCode.KEY_INVALID, "the key is unknown or withdrawn", 0);
    }
}
