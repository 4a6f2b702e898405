package org.plantainferry.network.store;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.json.Json;
import org.plantainferry.api.json.JsonTree;
import org.plantainferry.network.http.Futures;
import org.plantainferry.network.http.HttpConnector;
import org.plantainferry.network.http.HttpRequest;
import org.plantainferry.network.http.HttpResponse;
import org.plantainferry.network.log.NetworkEvent;

/**
 * Accesses the platform's store over HTTP.
 *
 * <p>A write or removal that was sent has the verdict {@code MAY_HAVE_RUN} when its response is
 * lost, late, unreadable or an error other than a failed condition: only the documented responses
 * prove that nothing changed. At most 32 calls can be in progress; further calls fail immediately.
 *
 * @since 0.1
 */
public final class HttpPlatformStore implements PlatformStore {
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final Pattern ENTITY_TAG = Pattern.compile("(?:W/)?\"([0-9]{1,18})\"");
    // The platform may add properties that this version does not know.
    private static final ObjectReader READER =
            Json.strict().reader().without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final StoreConnectionPool mConnections;
    private final StoreTimeouts mTimeouts;

    /**
     * Creates a client, which connects on the first call.
     *
     * @param group the event loops, which the caller owns
     * @param address IP:PORT of the store
     * @param localAddress the address that connections are bound to; empty for any
     */
    public HttpPlatformStore(
            EventLoopGroup group,
            String address,
            Optional<InetAddress> localAddress,
            StoreTimeouts timeouts) {
        mTimeouts = Preconditions.notNull(timeouts, "timeouts");
        mConnections =
                new StoreConnectionPool(
                        new HttpConnector(
                                group,
                                localAddress,
                                timeouts.connectMillis(),
                                MAX_BODY_BYTES,
                                ErrorCode.STORE_UNAVAILABLE),
                        Preconditions.notNull(address, "address"));
    }

    @Override
    public CompletableFuture<Optional<StoreObject>> get(String path) {
        return call(
                "GET",
                objectUri(path),
                Map.of(),
                Optional.empty(),
                mTimeouts.callMillis(),
                response -> readObject(path, response));
    }

    @Override
    public CompletableFuture<Optional<Long>> put(
            String path, String value, WriteCondition condition) {
        Preconditions.notNull(value, "value");
        Map<String, String> headers =
                condition
                        .version()
                        .map(version -> Map.of("If-Match", formatEntityTag(version)))
                        .orElse(Map.of("If-None-Match", "*"));
        return call(
                "PUT",
                objectUri(path),
                headers,
                Optional.of(value),
                mTimeouts.callMillis(),
                HttpPlatformStore::readPutResponse);
    }

    @Override
    public CompletableFuture<Boolean> delete(String path, long version) {
        return call(
                "DELETE",
                objectUri(path),
                Map.of("If-Match", formatEntityTag(version)),
                Optional.empty(),
                mTimeouts.callMillis(),
                HttpPlatformStore::readDeleteResponse);
    }

    @Override
    public CompletableFuture<StoreListing> list(String prefix) {
        return call(
                "GET",
                "/list?prefix=" + percentEncode(prefix),
                Map.of(),
                Optional.empty(),
                mTimeouts.callMillis(),
                response -> readListing(response));
    }

    @Override
    public CompletableFuture<StoreListing> watch(
            String prefix, long afterRevision, long waitMillis) {
        Preconditions.condition(waitMillis >= 0, "waitMillis must not be negative");
        String uri =
                "/watch?prefix="
                        + percentEncode(prefix)
                        + "&after="
                        + afterRevision
                        + "&waitMillis="
                        + waitMillis;
        return call(
                "GET",
                uri,
                Map.of(),
                Optional.empty(),
                waitMillis + mTimeouts.watchMarginMillis(),
                response -> readListing(response));
    }

    @Override
    public CompletableFuture<List<InstanceRecord>> instances() {
        return call(
                "GET",
                "/instances",
                Map.of(),
                Optional.empty(),
                mTimeouts.callMillis(),
                HttpPlatformStore::readInstances);
    }

    @Override
    public void close() {
        mConnections.close();
    }

    private <T> CompletableFuture<T> call(
            String method,
            String uri,
            Map<String, String> headers,
            Optional<String> body,
            long timeoutMillis,
            Function<HttpResponse, T> parser) {
        HttpRequest request = new HttpRequest(method, uri, headers, body, Optional.empty());
        Verdict verdictIfSent = method.equals("GET") ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        CompletableFuture<T> result = new CompletableFuture<>();
        mConnections
                .send(request, timeoutMillis)
                .whenComplete(
                        (response, error) -> {
                            if (error != null) {
                                Throwable cause = Futures.unwrap(error);
                                Verdict verdict =
                                        wasNotSent(cause) ? Verdict.NOT_RUN : verdictIfSent;
                                result.completeExceptionally(
                                        unavailable(method, uri, verdict, cause));
                                return;
                            }
                            try {
                                result.complete(parser.apply(response));
                            } catch (RuntimeException e) {
                                result.completeExceptionally(
                                        unavailable(method, uri, verdictIfSent, e));
                            }
                        });
        return result;
    }

    private static boolean wasNotSent(Throwable cause) {
        return cause instanceof PlantainferryException failure
                && failure.verdict() == Verdict.NOT_RUN;
    }

    private static PlantainferryException unavailable(
            String method, String uri, Verdict verdict, Throwable cause) {
        return new PlantainferryException(
                ErrorCode.STORE_UNAVAILABLE,
                "store: " + method + " " + uri + ": " + cause.getMessage(),
                verdict,
                0,
                cause);
    }

    private static Optional<StoreObject> readObject(String path, HttpResponse response) {
        if (response.status() == NOT_FOUND) {
            return Optional.empty();
        }
        requireStatus(response, response.status() == OK);
        return Optional.of(
                new StoreObject(path, readVersion(response), Optional.of(response.body())));
    }

    private static Optional<Long> readPutResponse(HttpResponse response) {
        // The store may respond with either status to a conditional write of a removed object.
        if (response.status() == PRECONDITION_FAILED || response.status() == NOT_FOUND) {
            return Optional.empty();
        }
        requireStatus(
                response,
                response.status() == OK
                        || response.status() == CREATED
                        || response.status() == NO_CONTENT);
        return Optional.of(readVersion(response));
    }

    private static boolean readDeleteResponse(HttpResponse response) {
        if (response.status() == PRECONDITION_FAILED || response.status() == NOT_FOUND) {
            return false;
        }
        requireStatus(response, response.status() == OK || response.status() == NO_CONTENT);
        return true;
    }

    private static StoreListing readListing(HttpResponse response) {
        requireStatus(response, response.status() == OK);
        ListingBody body = parse(response, ListingBody.class);
        return new StoreListing(
                body.revision(),
                body.objects().stream().map(ListingBody.ObjectBody::toStoreObject).toList());
    }

    private static List<InstanceRecord> readInstances(HttpResponse response) {
        requireStatus(response, response.status() == OK);
        JsonNode entries = readTree(response).path("instances");
        if (!entries.isArray()) {
            throw new UnreadableResponseException("the response has no list of instances");
        }
        List<InstanceRecord> instances = new ArrayList<>();
        for (JsonNode entry : entries) {
            readInstance(entry).ifPresent(instances::add);
        }
        return instances;
    }

    /** Returns an entry; empty if it cannot be used, which leaves the others in use. */
    private static Optional<InstanceRecord> readInstance(JsonNode entry) {
        String id = entry.path("id").asText();
        try {
            InstanceRecord instance = READER.forType(InstanceRecord.class).readValue(entry);
            if (instance.isComplete()) {
                return Optional.of(instance);
            }
            NetworkEvent.INSTANCE_REJECTED.log(id, "a property is missing");
        } catch (IOException e) {
            NetworkEvent.INSTANCE_REJECTED.log(id, e.getMessage());
        }
        return Optional.empty();
    }

    private static JsonNode readTree(HttpResponse response) {
        try {
            return JsonTree.readListing(response.body(), ErrorCode.STORE_UNAVAILABLE);
        } catch (PlantainferryException e) {
            throw new UnreadableResponseException(e.getMessage());
        }
    }

    private static <T> T parse(HttpResponse response, Class<T> type) {
        try {
            T value = READER.forType(type).readValue(readTree(response));
            if (value == null) {
                throw new UnreadableResponseException("the response is empty");
            }
            return value;
        } catch (IOException e) {
            throw new UnreadableResponseException(e.getMessage());
        }
    }

    private static void requireStatus(HttpResponse response, boolean expected) {
        if (!expected) {
            throw new UnreadableResponseException("status " + response.status());
        }
    }

    private static long readVersion(HttpResponse response) {
        Matcher matcher = ENTITY_TAG.matcher(response.entityTag().orElse(""));
        if (!matcher.matches()) {
            throw new UnreadableResponseException(
                    "the ETag has no version: " + response.entityTag());
        }
        return Long.parseLong(matcher.group(1));
    }

    private static String formatEntityTag(long version) {
        return "\"" + version + "\"";
    }

    private static String objectUri(String path) {
        Preconditions.condition(
                path != null && !path.isEmpty() && !path.startsWith("/"),
                "path must not be empty or begin with a slash: " + path);
        return "/objects/" + percentEncode(path).replace("%2F", "/");
    }

    private static String percentEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
