package org.plantainferry.network.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.json.Json;
import org.plantainferry.network.http.Futures;
import org.plantainferry.network.http.HttpConnection;
import org.plantainferry.network.http.HttpConnector;
import org.plantainferry.network.http.HttpRequest;
import org.plantainferry.network.http.HttpResponse;

/**
 * Reads the status of instances over HTTP, on a connection of its own each time.
 *
 * @since 0.1
 */
public final class HttpInstanceStatusReader implements InstanceStatusReader {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int OK = 200;
    private static final HttpRequest STATUS_REQUEST =
            new HttpRequest(
                    "GET", "/operator/status", Map.of(), Optional.empty(), Optional.empty());
    // A newer instance may tell more than this version knows.
    private static final ObjectReader READER =
            Json.strict()
                    .readerFor(InstanceStatus.class)
                    .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final HttpConnector mConnector;

    /**
     * Creates a reader.
     *
     * @param group the event loops, which the caller owns
     */
    public HttpInstanceStatusReader(EventLoopGroup group) {
        mConnector =
                new HttpConnector(
                        group,
                        Optional.empty(),
                        CONNECT_TIMEOUT_MILLIS,
                        MAX_BODY_BYTES,
                        ErrorCode.PEER_UNAVAILABLE);
    }

    @Override
    public CompletableFuture<InstanceStatus> read(String address) {
        CompletableFuture<InstanceStatus> result = new CompletableFuture<>();
        mConnector
                .connect(address)
                .whenComplete(
                        (connection, error) -> {
                            if (error != null) {
                                result.completeExceptionally(unavailable(address, error));
                            } else {
                                requestStatus(connection, address, result);
                            }
                        });
        return result;
    }

    private static void requestStatus(
            HttpConnection connection, String address, CompletableFuture<InstanceStatus> result) {
        connection
                .send(STATUS_REQUEST, RESPONSE_TIMEOUT_MILLIS)
                .whenComplete(
                        (answer, error) -> {
                            connection.close();
                            try {
                                if (error != null) {
                                    result.completeExceptionally(unavailable(address, error));
                                } else {
                                    result.complete(parse(answer));
                                }
                            } catch (JsonProcessingException | RuntimeException e) {
                                result.completeExceptionally(unavailable(address, e));
                            }
                        });
    }

    private static InstanceStatus parse(HttpResponse answer) throws JsonProcessingException {
        if (answer.status() != OK) {
            throw new PlantainferryException(
                    ErrorCode.PEER_UNAVAILABLE, "status " + answer.status());
        }
        InstanceStatus status = READER.readValue(answer.body());
        if (status == null) {
            throw new PlantainferryException(ErrorCode.PEER_UNAVAILABLE, "the answer is empty");
        }
        return status;
    }

    private static PlantainferryException unavailable(String address, Throwable error) {
        Throwable cause = Futures.unwrap(error);
        return new PlantainferryException(
                ErrorCode.PEER_UNAVAILABLE,
                "no status from " + address + ": " + cause.getMessage(),
                cause);
    }
}
