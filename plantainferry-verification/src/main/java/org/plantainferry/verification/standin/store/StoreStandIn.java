package org.plantainferry.verification.standin.store;

import io.undertow.server.HttpServerExchange;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainferry.network.store.InstanceRecord;
import org.plantainferry.verification.standin.HttpEndpoint;
import org.plantainferry.verification.standin.HttpExchanges;
import org.xnio.XnioWorker;

/**
 * Stands in for the platform's object store and list of instances, with faults on demand.
 *
 * <p>Every fault has a method here and an endpoint under {@code /control}.
 *
 * @since 0.1
 */
public final class StoreStandIn implements AutoCloseable {
    private static final int TASK_THREADS = 400;

    private final XnioWorker mWorker = HttpEndpoint.createWorker(TASK_THREADS);
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final HttpEndpoint mEndpoint;
    private final ObjectTable mObjectTable = new ObjectTable();
    private final InstanceTable mInstanceTable = new InstanceTable();
    private final PendingWatches mWatches = new PendingWatches(mTimer);
    private final CallCounters mCounters = new CallCounters();
    private final Set<InetAddress> mCutSources = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mAnswersToLose = new AtomicInteger();
    private volatile boolean mOutage;
    private volatile long mLatencyMillis;
    private volatile long mListLagMillis;

    /** Creates a store that listens at an address; port 0 takes a free port. */
    public StoreStandIn(InetSocketAddress address) {
        StoreControl control = new StoreControl(this);
        StoreHandler handler = new StoreHandler(this, control);
        mEndpoint = new HttpEndpoint(address, mWorker, Integer.MAX_VALUE, handler);
        mEndpoint.start();
    }

    /** Returns the address at which the store listens. */
    public InetSocketAddress address() {
        return mEndpoint.address();
    }

    /** Begins or ends an outage, during which every call is answered with 503. */
    public void setOutage(boolean outage) {
        mOutage = outage;
        if (outage) {
            mWatches.refuseAll();
        }
    }

    /** Sets the time added to every call; half of it passes before a change takes effect. */
    public void setLatencyMillis(long millis) {
        mLatencyMillis = millis;
    }

    /** Makes the next changes take effect but closes their connections without an answer. */
    public void loseAnswers(int changes) {
        mAnswersToLose.set(changes);
    }

    /** Closes the connections from a source IP address, present and future, without an answer. */
    public void cut(String sourceIp) {
        InetAddress source = parseIp(sourceIp);
        mCutSources.add(source);
        mWatches.closeConnectionsFrom(source);
        mEndpoint.closeConnectionsFrom(source);
    }

    /** Ends the cut of a source IP address. */
    public void heal(String sourceIp) {
        mCutSources.remove(parseIp(sourceIp));
    }

    /** Sets the time after which later changes of instance records show in the list. */
    public void setListLagMillis(long millis) {
        mListLagMillis = millis;
    }

    /** Adds or replaces an instance record. */
    public void putInstance(InstanceRecord record) {
        mInstanceTable.addPendingChange(record.id().value(), Optional.of(record), visibleAtNanos());
    }

    /** Removes an instance record. */
    public void deleteInstance(String id) {
        mInstanceTable.addPendingChange(id, Optional.empty(), visibleAtNanos());
    }

    /** Returns the number of watches that wait now. */
    public int waitingWatches() {
        return mWatches.count();
    }

    /** Returns the highest number of calls that began in one second. */
    public long peakCallsPerSecond() {
        return counts().peakCallsPerSecond();
    }

    @Override
    public void close() {
        mEndpoint.close();
        mTimer.shutdownNow();
        mWorker.shutdownNow();
    }

    ObjectTable objectTable() {
        return mObjectTable;
    }

    InstanceTable instanceTable() {
        return mInstanceTable;
    }

    PendingWatches watches() {
        return mWatches;
    }

    CallCounters counters() {
        return mCounters;
    }

    CallCounters.Counts counts() {
        return mCounters.counts(mWatches.count());
    }

    boolean isOutage() {
        return mOutage;
    }

    boolean isCut(HttpServerExchange exchange) {
        return mCutSources.contains(HttpExchanges.sourceAddress(exchange));
    }

    boolean consumeLostAnswer() {
        return mAnswersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }

    void sleepHalfLatency() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(mLatencyMillis / 2);
    }

    private long visibleAtNanos() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mListLagMillis);
    }

    private static InetAddress parseIp(String ip) {
        try {
            return InetAddress.getByName(ip);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an IP address: " + ip, e);
        }
    }
}
