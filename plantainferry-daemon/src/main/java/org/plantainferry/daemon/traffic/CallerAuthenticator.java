package org.plantainferry.daemon.traffic;

import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.OpenRoute;

/**
 * Decides for which workspace a request runs.
 *
 * <p>Safe for use by several threads; each call sees the configuration in force.
 *
 * @since 0.1
 */
public interface CallerAuthenticator {
    /**
     * Checks a caller's key.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code KEY_INVALID}, {@code
     *     SERVICE_FORBIDDEN}, {@code NOT_FOUND} or {@code CONFIGURATION_STALE}
     */
    AuthenticatedKey authenticate(String key, ServiceName service);

    /**
     * Returns an open route.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code NOT_FOUND}
     */
    OpenRoute openRoute(String name);

    /**
     * Checks again, before a request leaves for a target, that its key is in force.
     *
     * @throws org.plantainferry.api.PlantainferryException as {@link #authenticate}
     */
    void verifyStillValid(CallerRequest request);

    /**
     * Names the workspace and the key of a caller.
     *
     * @param workspace the workspace to which the key belongs
     * @param keyId the name of the key
     */
    record AuthenticatedKey(WorkspaceName workspace, String keyId) {}
}
