package org.plantainferry.daemon.traffic;

import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.configuration.OpenRoute;

/**
 * Authenticates callers and decides for which workspace a request runs.
 *
 * <p>Thread-safe. Each call uses the configuration in force.
 *
 * @since 0.1
 */
public interface CallerAuthenticator {
    /**
     * Authenticates a caller by its key and checks that the key may use the service.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code KEY_INVALID}, {@code
     *     SERVICE_FORBIDDEN}, {@code NOT_FOUND} or {@code CONFIGURATION_STALE}
     */
    AuthenticatedKey authenticate(String key, ServiceName service);

    /**
     * Returns the open route of a name.
     *
     * @throws org.plantainferry.api.PlantainferryException with {@code NOT_FOUND}
     */
    OpenRoute openRoute(String name);

    /**
     * Checks again that the key of a request is in force, before the request is sent to a target.
     *
     * <p>Requests on open routes have no key and always pass.
     *
     * @throws org.plantainferry.api.PlantainferryException as {@link #authenticate}
     */
    void verifyStillValid(CallerRequest request);

    /**
     * Identifies the workspace and the key of an authenticated caller.
     *
     * @param workspace the workspace to which the key belongs
     * @param keyId the name of the key
     */
    record AuthenticatedKey(WorkspaceName workspace, String keyId) {}
}
