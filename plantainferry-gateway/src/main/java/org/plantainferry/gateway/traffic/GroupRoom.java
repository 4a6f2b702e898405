package org.plantainferry.gateway.traffic;

import java.util.List;
import java.util.Set;
import org.plantainferry.engine.capacity.ServerRoom;
import org.plantainferry.engine.capacity.WorkKind;
import org.plantainferry.engine.placement.ConnectionAvailability;
import org.plantainferry.engine.retry.RoomState;

/**
 * Tells what room the servers of a group have for another attempt of a statement.
 *
 * <p>A server has none while statements wait for it, and either as many are in progress as may be
 * or no other connection can be opened. Without waiting statements, another attempt delays none.
 */
final class GroupRoom {
    private final ServerGroup mGroup;
    private final String mWorkspace;
    private final WorkKind mKind;

    GroupRoom(ServerGroup group, String workspace, WorkKind kind) {
        mGroup = group;
        mWorkspace = workspace;
        mKind = kind;
    }

    /** Returns the room of the servers to which a hedge could go; free when there is none. */
    RoomState forHedge(Set<String> excluded, long nowNanos) {
        return state(readPools(excluded), nowNanos);
    }

    /**
     * Returns the room of the servers to which a retry could go.
     *
     * @param excluded the servers that have refused; all of them are tried again when no other is
     *     left
     */
    RoomState forRetry(ConnectionPurpose purpose, Set<String> excluded, long nowNanos) {
        if (purpose.isAtPrimary()) {
            return state(mGroup.usablePrimary(nowNanos).stream().toList(), nowNanos);
        }
        List<ServerConnectionPool> others = readPools(excluded);
        return state(others.isEmpty() ? readPools(Set.of()) : others, nowNanos);
    }

    private List<ServerConnectionPool> readPools(Set<String> excluded) {
        return mGroup.pools().values().stream()
                .filter(pool -> !pool.isEvacuated() && !excluded.contains(pool.server().id()))
                .toList();
    }

    private RoomState state(List<ServerConnectionPool> pools, long nowNanos) {
        boolean isShort =
                !pools.isEmpty() && pools.stream().allMatch(pool -> isShort(pool, nowNanos));
        if (!isShort) {
            return RoomState.FREE;
        }
        long expected =
                pools.stream().mapToLong(pool -> expectedNanos(pool, nowNanos)).min().orElse(0);
        return new RoomState(true, expected);
    }

    private boolean isShort(ServerConnectionPool pool, long nowNanos) {
        if (pool.waiters() == 0) {
            return false;
        }
        return pool.room().inFlight() >= pool.room().limit(nowNanos)
                || pool.availability(mWorkspace) == ConnectionAvailability.AT_LIMIT;
    }

    /** Returns the time until what is in progress and what waits at a server has ended. */
    private long expectedNanos(ServerConnectionPool pool, long nowNanos) {
        ServerRoom room = pool.room();
        long statements = room.inFlight() + pool.waiters();
        long inParallel = Math.max(1, Math.min(room.inFlight(), room.limit(nowNanos)));
        return statements * room.serviceNanos(mKind) / inParallel;
    }
}
