package org.plantainferry.gateway.passing;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.plantainferry.engine.hosting.HostHealth;

/**
 * Holds the links to the instances to which operations are passed, and opens them when needed.
 *
 * <p>Not thread-safe: used by the traffic thread only.
 *
 * @since 0.4
 */
public final class HostLinks {
    private final EventLoop mLoop;
    private final String mInstance;
    private final String mLocalAddress;
    private final LongSupplier mClock;
    private final Map<String, Peer> mPeers = new HashMap<>();

    /** Holds what is known about one other instance. */
    private static final class Peer {
        private final String mAddress;
        private final HostHealth mHealth = new HostHealth();
        private Optional<HostLink> mLink = Optional.empty();

        Peer(String address) {
            mAddress = address;
        }
    }

    /** Creates the links of an instance, which knows no other instance yet. */
    public HostLinks(EventLoop loop, String instance, String localAddress, LongSupplier clock) {
        mLoop = loop;
        mInstance = instance;
        mLocalAddress = localAddress;
        mClock = clock;
    }

    /**
     * Sets the other instances. A link to one that is not listed any more, or at another address,
     * keeps its operations and gets no new ones.
     *
     * @param addresses the address for other instances, by instance
     */
    public void setAddresses(Map<String, String> addresses) {
        mPeers.forEach(
                (name, peer) -> {
                    if (!peer.mAddress.equals(addresses.get(name))) {
                        peer.mLink.ifPresent(HostLink::closeWhenUnused);
                    }
                });
        mPeers.keySet().retainAll(addresses.keySet());
        addresses.forEach(
                (name, address) -> {
                    Peer known = mPeers.get(name);
                    if (known == null || !known.mAddress.equals(address)) {
                        mPeers.put(name, new Peer(address));
                    }
                });
    }

    /**
     * Returns the link to an instance if an operation may be passed there now. Otherwise the link
     * is opened without waiting, unless the instance is avoided.
     */
    public Optional<HostLink> usable(String instance) {
        Peer peer = mPeers.get(instance);
        if (peer == null) {
            return Optional.empty();
        }
        if (peer.mLink.isPresent() && !peer.mLink.get().isEnded()) {
            return peer.mLink.filter(HostLink::isUsable);
        }
        if (peer.mHealth.mayOpen(mClock.getAsLong())) {
            HostLink link = new HostLink(mLoop, mInstance, instance, peer.mHealth, mClock);
            peer.mLink = Optional.of(link);
            link.open(mLocalAddress, peer.mAddress);
        }
        return Optional.empty();
    }

    /** Closes the links that have not been used for some time. */
    public void closeIdle() {
        mPeers.values().forEach(peer -> peer.mLink.ifPresent(HostLink::closeIfIdle));
    }

    /** Closes all links. */
    public void close() {
        List.copyOf(mPeers.values()).forEach(peer -> peer.mLink.ifPresent(HostLink::close));
    }
}
