package org.plantainferry.gateway.feed;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.plantainferry.engine.freshness.StoreEpoch;
import org.plantainferry.gateway.peer.generated.InstanceDescription;
import org.plantainferry.gateway.spi.InstanceEntry;

/** Encodes the entries of instances. */
final class InstanceCodec implements FeedCodec<InstanceEntry> {
    @Override
    public ByteString encode(InstanceEntry instance) {
        return InstanceDescription.newBuilder()
                .setFailureDomain(instance.failureDomain())
                .setPeerAddress(instance.peerAddress())
                .setSettledEpoch(instance.settledEpoch().number())
                .build()
                .toByteString();
    }

    @Override
    public InstanceEntry decode(String name, ByteString content)
            throws InvalidProtocolBufferException {
        InstanceDescription instance = InstanceDescription.parseFrom(content);
        return new InstanceEntry(
                name,
                instance.getFailureDomain(),
                instance.getPeerAddress(),
                StoreEpoch.of(instance.getSettledEpoch()));
    }
}
