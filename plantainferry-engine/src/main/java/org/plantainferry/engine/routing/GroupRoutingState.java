package org.plantainferry.engine.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.ServerRole;
import org.plantainferry.api.configuration.Service;
import org.plantainferry.api.configuration.TargetServer;
import org.plantainferry.api.session.LogPosition;

/**
 * Keeps what one instance knows about the servers of a service.
 *
 * <p>Reports on servers that the service does not have are ignored, because an answer may arrive
 * after a configuration change removed its server.
 *
 * @since 0.1
 */
public final class GroupRoutingState {
    private final Map<ServerId, ServerEstimate> mServers = new LinkedHashMap<>();
    private final LogPositionHistory mLogHistory = new LogPositionHistory();
    private long mTerm;
    private Optional<ServerId> mPrimary = Optional.empty();

    /** Creates a view of a service of which nothing is known yet. */
    public GroupRoutingState(Service service) {
        update(service);
    }

    /** Takes over the servers of a new configuration; knowledge about servers that stay is kept. */
    public void update(Service service) {
        Preconditions.notNull(service, "service");
        mServers.keySet().retainAll(service.servers().stream().map(TargetServer::id).toList());
        for (TargetServer server : service.servers()) {
            mServers.computeIfAbsent(
                            server.id(), id -> new ServerEstimate(id, server.failureDomain()))
                    .setFailureDomain(server.failureDomain());
        }
        mPrimary = mPrimary.filter(mServers::containsKey);
    }

    /**
     * Records the complete state of a server, as a probe shows it.
     *
     * <p>An observation of a lower term than the last one of the same server is late and ignored.
     */
    public void observe(ServerObservation observation, long nowNanos) {
        Preconditions.notNull(observation, "observation");
        ServerEstimate estimate = mServers.get(observation.server());
        if (estimate == null || observation.term() < estimate.term()) {
            return;
        }
        boolean primary = observation.role() == ServerRole.PRIMARY;
        learnPrimary(
                observation.term(), primary ? Optional.of(observation.server()) : Optional.empty());
        boolean current = observation.term() == mTerm && observation.role() != ServerRole.NONE;
        estimate.recordAnswer(
                observation,
                current
                        ? nanosSinceReached(observation.position() + 1, nowNanos)
                        : OptionalLong.empty(),
                current
                        ? nanosSinceReached(observation.position(), nowNanos)
                        : OptionalLong.empty(),
                nowNanos);
        if (current) {
            mLogHistory.record(observation.position(), nowNanos);
        }
    }

    /**
     * Records that the log of the group has reached a place, as a session token or a write shows.
     *
     * <p>Only acknowledged entries are in tokens, so the place is valid in later terms too.
     */
    public void observeLogPosition(LogPosition place, long nowNanos) {
        Preconditions.notNull(place, "place");
        learnPrimary(place.term(), Optional.empty());
        mLogHistory.record(place.position(), nowNanos);
    }

    /** Records the answer to a statement, which does not tell whether the server is leaving. */
    public void observeAnswer(
            ServerId server,
            ServerRole role,
            long term,
            long position,
            long lagMillis,
            long nowNanos) {
        observe(
                new ServerObservation(server, role, term, position, lagMillis, isLeaving(server)),
                nowNanos);
    }

    /**
     * Records a refusal, which tells neither the role nor the lag; both are kept as known.
     *
     * @param leavingServers whether the server refused because it is leaving
     * @param notPrimary whether it refused because it is not the primary
     */
    public void observeRefusal(
            ServerId server,
            long term,
            long position,
            boolean leaving,
            boolean notPrimary,
            long nowNanos) {
        ServerEstimate estimate = mServers.get(server);
        if (estimate == null) {
            return;
        }
        ServerRole role =
                estimate.observation().map(ServerObservation::role).orElse(ServerRole.NONE);
        if (role == ServerRole.PRIMARY && (notPrimary || term > estimate.term())) {
            role = ServerRole.NONE;
        }
        if (notPrimary && term >= mTerm && mPrimary.filter(server::equals).isPresent()) {
            mPrimary = Optional.empty();
        }
        observe(
                new ServerObservation(
                        server,
                        role,
                        term,
                        position,
                        estimate.lagMillis(nowNanos),
                        leaving || estimate.isLeaving()),
                nowNanos);
    }

    /** Records how long a server took to answer a statement. */
    public void observeLatency(ServerId server, long latencyNanos, long nowNanos) {
        Preconditions.condition(latencyNanos >= 0, "latencyNanos must not be negative");
        ServerEstimate estimate = mServers.get(server);
        if (estimate != null) {
            estimate.recordLatency(latencyNanos, nowNanos);
        }
    }

    /** Records that a server did not answer or that its connection broke. */
    public void observeFailure(ServerId server, long nowNanos) {
        ServerEstimate estimate = mServers.get(server);
        if (estimate != null) {
            estimate.recordFailure(nowNanos);
        }
    }

    /**
     * Takes over a term, and its primary if it is known, from a peer, a token or a promotion.
     *
     * <p>A lower term is ignored. A term has one primary, so the first one learned stays.
     */
    public void learnPrimary(long term, Optional<ServerId> primary) {
        Preconditions.notNull(primary, "primary");
        if (term < mTerm) {
            return;
        }
        if (term > mTerm) {
            // Entries that were not acknowledged may be gone in the new term.
            mLogHistory.clear();
            mTerm = term;
            mPrimary = Optional.empty();
            mServers.values().forEach(ServerEstimate::resetProbes);
        }
        if (mPrimary.isEmpty()) {
            mPrimary = primary.filter(mServers::containsKey);
        }
    }

    /** Returns the primary of the highest term, if it is known. */
    public Optional<ServerId> primary() {
        return mPrimary;
    }

    /** Returns the highest term seen; 0 for none. */
    public long term() {
        return mTerm;
    }

    /** Returns whether a server is known to take no new work. */
    public boolean isLeaving(ServerId server) {
        ServerEstimate estimate = mServers.get(server);
        return estimate != null && estimate.isLeaving();
    }

    /** Returns the last observation of a server. */
    public Optional<ServerObservation> observation(ServerId server) {
        return Optional.ofNullable(mServers.get(server)).flatMap(ServerEstimate::observation);
    }

    /** Returns the monotonic time of the last answer of a server. */
    public OptionalLong lastAnswerNanos(ServerId server) {
        ServerEstimate estimate = mServers.get(server);
        return estimate == null || estimate.observation().isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(estimate.answeredAtNanos());
    }

    /** Returns how many times in a row a server has failed. */
    public int failures(ServerId server) {
        ServerEstimate estimate = mServers.get(server);
        return estimate == null ? 0 : estimate.failures();
    }

    /** Returns the exponentially weighted latency of a server in nanoseconds. */
    public long latencyNanos(ServerId server, long nowNanos) {
        ServerEstimate estimate = mServers.get(server);
        return estimate == null ? 0 : (long) estimate.latencyNanos(nowNanos);
    }

    /** Returns the position that a server is estimated to have reached now; 0 when unknown. */
    public long estimatedPosition(ServerId server, long nowNanos) {
        ServerEstimate estimate = mServers.get(server);
        if (estimate == null || estimate.observation().isEmpty() || estimate.term() < mTerm) {
            return 0;
        }
        long observed = estimate.observation().get().position();
        if (mPrimary.filter(server::equals).isPresent()) {
            return Math.max(observed, mLogHistory.latestPosition());
        }
        return Math.max(
                observed,
                mLogHistory.positionAt(nowNanos - estimate.replicationDelayNanos(nowNanos)));
    }

    /** Returns the estimated age of the data of a server, in milliseconds. */
    public long estimatedLagMillis(ServerId server, long nowNanos) {
        ServerEstimate estimate = mServers.get(server);
        return estimate == null ? 0 : estimate.lagMillis(nowNanos);
    }

    /**
     * Returns the servers whose {@code /state} should be asked for now, and counts them as asked.
     *
     * <p>These are servers that get no statements and so would never be seen to recover: unknown,
     * of a lower term, without a role, leaving, or failing. Each is asked with backoff.
     */
    public List<ServerId> takeDueStateProbes(long nowNanos) {
        List<ServerId> due = new ArrayList<>();
        for (ServerEstimate estimate : mServers.values()) {
            boolean usable =
                    isCurrent(estimate, mTerm)
                            && estimate.failures() == 0
                            && estimate.observation().get().role() != ServerRole.NONE;
            if (usable) {
                estimate.resetProbes();
            } else if (estimate.isProbeDue(nowNanos)) {
                estimate.claimProbe(nowNanos);
                due.add(estimate.server());
            }
        }
        return due;
    }

    Collection<ServerEstimate> estimates() {
        return mServers.values();
    }

    Optional<ServerEstimate> primaryEstimate() {
        return mPrimary.map(mServers::get);
    }

    /** Returns whether a server takes new work at a term: observed in it, and not leaving. */
    boolean isCurrent(ServerEstimate estimate, long term) {
        return estimate.observation().isPresent()
                && estimate.term() >= Math.max(term, mTerm)
                && !estimate.isLeaving();
    }

    /** Returns the nanoseconds until a replica is estimated to reach a position. */
    long catchUpNanos(ServerEstimate estimate, long position, long nowNanos) {
        long reachedAt = mLogHistory.reachedAt(position).orElse(nowNanos);
        return Math.max(0, reachedAt + estimate.replicationDelayNanos(nowNanos) - nowNanos);
    }

    private OptionalLong nanosSinceReached(long position, long nowNanos) {
        OptionalLong reachedAt = mLogHistory.reachedAt(position);
        return reachedAt.isPresent()
                ? OptionalLong.of(Math.max(0, nowNanos - reachedAt.getAsLong()))
                : reachedAt;
    }
}
