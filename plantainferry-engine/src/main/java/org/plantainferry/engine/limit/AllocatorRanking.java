package org.plantainferry.engine.limit;

import java.util.List;
import org.plantainferry.api.InstanceId;
import org.plantainferry.api.WorkspaceName;

/**
 * Ranks the live instances that may allocate the shares of a workspace.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface AllocatorRanking {
    /** Returns the candidates in order of preference; two are enough. */
    List<InstanceId> candidates(WorkspaceName workspace);
}
