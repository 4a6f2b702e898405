package org.plantainferry.verification.standin.group;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.plantainferry.verification.standin.HttpEndpoint;
import org.xnio.XnioWorker;

/**
 * Simulates one database group, with all its servers in this process and with fault injection.
 *
 * <p>Each fault has a method in this class and an endpoint on the control address. Servers are
 * identified by their identifiers in the settings; methods throw an {@link
 * IllegalArgumentException} for an unknown identifier.
 *
 * @since 0.1
 */
public final class GroupStandIn implements AutoCloseable {
    private static final int TASK_THREADS = 512;

    private final XnioWorker mWorker = HttpEndpoint.createWorker(TASK_THREADS);
    private final GroupCounters mCounters = new GroupCounters();
    private final Set<String> mForbiddenTexts = ConcurrentHashMap.newKeySet();
    private final DatabaseGroup mGroup;
    private final Map<String, ServerContext> mContexts = new LinkedHashMap<>();
    private final Map<String, HttpEndpoint> mEndpoints = new LinkedHashMap<>();
    private final HttpEndpoint mControl;

    /** Starts all servers; the first one is the primary in term 1. */
    public GroupStandIn(GroupSettings settings) {
        List<String> names = settings.servers().stream().map(GroupSettings.Server::id).toList();
        mGroup = new DatabaseGroup(names, settings.lagMillisOrDefault());
        settings.forbiddenTexts().ifPresent(mForbiddenTexts::addAll);
        for (DatabaseServer server : mGroup.servers()) {
            ServerContext context = new ServerContext(mGroup, server, settings, mCounters);
            mContexts.put(server.name(), context);
            ServerHandler handler =
                    new ServerHandler(
                            context,
                            mForbiddenTexts,
                            exchange ->
                                    mEndpoints
                                            .get(server.name())
                                            .isAboveConnectionLimit(
                                                    exchange.getConnection().getPeerAddress()));
            mEndpoints.put(
                    server.name(),
                    new HttpEndpoint(
                            HttpEndpoint.parseAddress(
                                    settings.servers().get(server.index()).address()),
                            mWorker,
                            settings.connectionLimitOrDefault(),
                            handler));
        }
        mEndpoints.values().forEach(HttpEndpoint::start);
        mControl =
                new HttpEndpoint(
                        HttpEndpoint.parseAddress(settings.control()),
                        mWorker,
                        Integer.MAX_VALUE,
                        new GroupControl(this));
        mControl.start();
    }

    /** Returns the names of the servers, in the order of the settings. */
    public List<String> serverNames() {
        return List.copyOf(mContexts.keySet());
    }

    /** Returns the address on which a server listens. */
    public InetSocketAddress address(String server) {
        return endpoint(server).address();
    }

    /** Returns the address of the control endpoints. */
    public InetSocketAddress controlAddress() {
        return mControl.address();
    }

    /**
     * Simulates the end of a server process: closes its connections, stops listening and
     * replicating.
     *
     * <p>The log and the fencing promise are kept, as if stored on disk.
     */
    public void stop(String server) {
        int index = context(server).server().index();
        mGroup.updateLocked(
                () -> {
                    mGroup.replication().setStopped(index, true);
                    return true;
                });
        endpoint(server).stop();
    }

    /** Starts a stopped server, which has no role until a primary contacts it. */
    public void start(String server) {
        int index = context(server).server().index();
        mGroup.updateLocked(
                () -> {
                    mGroup.replication().setStopped(index, false);
                    return true;
                });
        endpoint(server).start();
    }

    /** Freezes or thaws a server; a frozen server keeps its connections but sends no responses. */
    public void setFrozen(String server, boolean frozen) {
        context(server).setFrozen(frozen);
    }

    /** Cuts or heals the link between two servers. */
    public void setCut(String first, String second, boolean cut) {
        int firstIndex = context(first).server().index();
        int secondIndex = context(second).server().index();
        mGroup.updateLocked(
                () -> {
                    mGroup.replication().setCut(firstIndex, secondIndex, cut);
                    return true;
                });
    }

    /** Holds requests and responses between a server and a source IP address until healed. */
    public void cutSource(String server, String sourceIp) {
        context(server).cutSource(parseIp(sourceIp));
    }

    /** Heals the cut of a source IP address; held requests and responses continue. */
    public void healSource(String server, String sourceIp) {
        context(server).healSource(parseIp(sourceIp));
    }

    /** Sets the delay after which an appended entry reaches a server that is a replica. */
    public void setLagMillis(String server, long millis) {
        int index = context(server).server().index();
        mGroup.updateLocked(
                () -> {
                    mGroup.replication().setLagNanos(index, TimeUnit.MILLISECONDS.toNanos(millis));
                    return true;
                });
    }

    /**
     * Marks a server as leaving or not; a leaving server refuses new work but finishes open
     * transactions.
     */
    public void setLeaving(String server, boolean leaving) {
        context(server).setLeaving(leaving);
    }

    /** Sets the time for which each statement on a server occupies its slot. */
    public void setServiceMillis(String server, long millis) {
        context(server).setServiceMillis(millis);
    }

    /** Runs the next statements and commits of a server, but drops their responses. */
    public void loseAnswers(String server, int count) {
        context(server).loseAnswers(count);
    }

    /** Returns why replication stopped if a proposer violated the promotion rules, else empty. */
    public Optional<String> replicationFailure() {
        return mGroup.replicationFailure();
    }

    /** Adds a text that requests must not contain, such as a caller's key. */
    public void forbid(String text) {
        mForbiddenTexts.add(text);
    }

    /** Returns a copy of the log of a server, including unconfirmed entries. */
    public List<LogEntry> log(String server) {
        DatabaseServer databaseServer = context(server).server();
        return mGroup.readLocked(() -> databaseServer.log().entries());
    }

    /** Returns the highest log position that a server knows to be confirmed. */
    public long confirmedPosition(String server) {
        return state(server).confirmedPosition();
    }

    /** Returns the number of requests with an Authorization header or a forbidden text. */
    public int violationCount() {
        return mCounters.violations().size();
    }

    /** Returns the number of open connections of a server. */
    public int connectionCount(String server) {
        return endpoint(server).connectionCount();
    }

    /** Returns the highest number of simultaneous connections of a server. */
    public int peakConnections(String server) {
        return endpoint(server).peakConnections();
    }

    @Override
    public void close() {
        mControl.close();
        mEndpoints.values().forEach(HttpEndpoint::close);
        mGroup.close();
        mWorker.shutdownNow();
    }

    GroupCounters counters() {
        return mCounters;
    }

    GroupResponses.State state(String server) {
        return context(server).state();
    }

    List<GroupResponses.State> states() {
        List<GroupResponses.State> states = new ArrayList<>();
        mContexts.values().forEach(context -> states.add(context.state()));
        return states;
    }

    private ServerContext context(String server) {
        return requireKnown(mContexts.get(server), server);
    }

    private HttpEndpoint endpoint(String server) {
        return requireKnown(mEndpoints.get(server), server);
    }

    private static <T> T requireKnown(T value, String server) {
        if (value == null) {
            throw new IllegalArgumentException("no such server: " + server);
        }
        return value;
    }

    private static InetAddress parseIp(String ip) {
        try {
            return InetAddress.getByName(ip);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an IP address: " + ip, e);
        }
    }
}
