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
 * Looks up the workspace of a key in one configuration version; immutable, so that traffic threads
 * can share it.
 *
 * @since 0.1
 */
public final class KeyDirectory {
    /**
     * The time after which a caller that was refused because of a stale configuration may retry.
     */
    public static final long STALE_RETRY_MILLIS = 1_000;

    /** The directory that is in use before the first configuration. */
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
     * Authenticates a key that a caller presents.
     *
     * <p>While isolated, an unknown key is refused with {@code CONFIGURATION_STALE} and not with
     * {@code KEY_INVALID}, because it may have been added in a version that this instance does not
     * know.
     *
     * @param key the presented key; empty when the request has none
     * @param freshness the freshness of the configuration at this time
     */
    public AuthenticationResult authenticate(Optional<String> key, Freshness freshness) {
        if (key.isEmpty() || key.get().isEmpty()) {
            return new AuthenticationResult.Refused(
                    ErrorCode.KEY_INVALID, "the request has no key", 0);
        }
        return applyFreshness(
                Optional.ofNullable(mGrantsByKeyHash.get(CallerKey.hash(key.get()))), freshness);
    }

    /** Authenticates a previously accepted key again, for queued or forwarded requests. */
    public AuthenticationResult reauthenticate(KeyReference key, Freshness freshness) {
        return applyFreshness(Optional.ofNullable(mGrantsByReference.get(key)), freshness);
    }

    /** Checks whether a workspace may use a service; empty when it may, otherwise the refusal. */
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

    /**
     * Returns the open route with the given name, if any; open routes are served at any freshness.
     */
    public Optional<OpenRoute> openRoute(String name) {
        return Optional.ofNullable(mOpenRoutes.get(name));
    }

    /** Returns the workspace with the given name, if any. */
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
