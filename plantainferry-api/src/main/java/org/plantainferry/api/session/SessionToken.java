package org.plantainferry.api.session;

import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.WorkspaceName;

/**
 * Records how far a session has seen the log of a service, so that every instance can serve its
 * reads at least at that position.
 *
 * @param workspace the workspace to which the session belongs
 * @param service the service that it used
 * @param seen the latest log position that the session has written or read
 * @since 0.1
 */
public record SessionToken(WorkspaceName workspace, ServiceName service, LogPosition seen) {
    /** Checks that nothing is missing. */
    public SessionToken {
        Preconditions.notNull(workspace, "workspace");
        Preconditions.notNull(service, "service");
        Preconditions.notNull(seen, "seen");
    }
}
