package org.plantainferry.gateway.feed;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.plantainferry.engine.catalog.CatalogServer;
import org.plantainferry.gateway.peer.generated.ServerDescription;

/** Encodes the entries of servers. */
final class ServerCodec implements FeedCodec<CatalogServer> {
    @Override
    public ByteString encode(CatalogServer server) {
        return ServerDescription.newBuilder()
                .setService(server.service())
                .setAddress(server.address())
                .setFailureDomain(server.failureDomain())
                .setPrimary(server.primary())
                .setDraining(server.draining())
                .setSlots(server.slots())
                .setStartedAtMillis(server.startedAtMillis())
                .build()
                .toByteString();
    }

    @Override
    public CatalogServer decode(String name, ByteString content)
            throws InvalidProtocolBufferException {
        ServerDescription server = ServerDescription.parseFrom(content);
        return new CatalogServer(
                name,
                server.getService(),
                server.getAddress(),
                server.getFailureDomain(),
                server.getPrimary(),
                server.getDraining(),
                server.getSlots(),
                server.getStartedAtMillis());
    }
}
