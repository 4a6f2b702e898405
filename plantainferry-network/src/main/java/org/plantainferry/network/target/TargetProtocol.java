package org.plantainferry.network.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Preconditions;
import org.plantainferry.api.StatementKind;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.json.Json;

/**
 * Builds the requests of the target protocol and parses its responses.
 *
 * <p>Unknown properties in a response are ignored; a missing or invalid property makes the response
 * unreadable. An unreadable answer to a statement, fencing or promotion request never has the
 * verdict {@code NOT_RUN}.
 *
 * @since 0.1
 */
public final class TargetProtocol {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int MESSAGE_MAX_LENGTH = 512;
    // Servers are upgraded independently of instances, so new properties must not break older
    // instances.
    private static final ObjectReader READER =
            Json.strict().reader().without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private TargetProtocol() {}

    /**
     * Builds a request that runs a statement, either alone or in the open transaction of its
     * connection.
     *
     * @param term the term in which the server must be; for reads, the newest term known
     * @param minimumPosition the log position that the server must have reached; 0 for any
     * @param requestId the idempotency key, if the caller sent one
     */
    public static TargetRequest statement(
            StatementKind kind,
            String statement,
            long term,
            long minimumPosition,
            Optional<String> requestId) {
        Preconditions.notNull(kind, "kind");
        Preconditions.notNull(statement, "statement");
        return post(
                "/statement", new StatementBody(kind, statement, term, minimumPosition, requestId));
    }

    /** Builds a request that begins a transaction on its connection. */
    public static TargetRequest begin(long term) {
        return post("/begin", new TermBody(term, Optional.empty()));
    }

    /**
     * Builds a request that commits the transaction of its connection.
     *
     * @param requestId the idempotency key, if the caller sent one
     */
    public static TargetRequest commit(long term, Optional<String> requestId) {
        return post("/commit", new TermBody(term, requestId));
    }

    /** Builds a request that rolls back the transaction of its connection. */
    public static TargetRequest rollback() {
        return new TargetRequest("POST", "/rollback", Optional.of("{}"));
    }

    /** Builds a request for the state of a server. */
    public static TargetRequest state() {
        return new TargetRequest("GET", "/state", Optional.empty());
    }

    /**
     * Builds a fencing request, after which the server refuses all work of terms before {@code
     * term}.
     */
    public static TargetRequest fence(long term, String proposer) {
        return post("/fence", new ProposalBody(term, Preconditions.notNull(proposer, "proposer")));
    }

    /** Builds a promotion request, which makes the server the primary of {@code term}. */
    public static TargetRequest promote(long term, String proposer) {
        return post(
                "/promote", new ProposalBody(term, Preconditions.notNull(proposer, "proposer")));
    }

    /**
     * Parses the answer to a statement, begin, commit or rollback.
     *
     * <p>Never throws: an unreadable response becomes a refusal with {@link
     * RefusalReason#UNREADABLE}.
     */
    public static StatementAnswer readStatementAnswer(TargetResponse response) {
        try {
            if (response.status() == OK) {
                return parse(response, StatementResult.class);
            }
            RefusalBody body = parse(response, RefusalBody.class);
            return RefusalReason.find(response.status(), body.error().orElse(""))
                    .map(reason -> body.toRefusal(reason))
                    .orElseGet(() -> unreadableAnswer("status " + response.status()));
        } catch (PlantainferryException e) {
            return unreadableAnswer("status " + response.status() + ": " + e.getMessage());
        }
    }

    /**
     * Parses the state of a server.
     *
     * @throws PlantainferryException with {@code TARGET_UNAVAILABLE} when the response holds no
     *     valid state
     */
    public static ServerState readState(TargetResponse response) {
        if (response.status() != OK) {
            throw unexpectedResponse(response, Verdict.NOT_RUN);
        }
        return parse(response, ServerState.class);
    }

    /**
     * Parses the answer to a fencing request.
     *
     * @throws PlantainferryException with {@code TARGET_UNAVAILABLE} and {@code MAY_HAVE_RUN} when
     *     the response is neither a grant nor a refusal
     */
    public static FenceResult readFenceResult(TargetResponse response) {
        if (response.status() != OK && response.status() != CONFLICT) {
            throw unexpectedResponse(response, Verdict.MAY_HAVE_RUN);
        }
        FenceResult result = parse(response, FenceResult.class);
        if (result.granted() != (response.status() == OK)) {
            throw unexpectedResponse(response, Verdict.MAY_HAVE_RUN);
        }
        return result;
    }

    /**
     * Parses the answer to a promotion request.
     *
     * @throws PlantainferryException with {@code TARGET_UNAVAILABLE} and {@code MAY_HAVE_RUN} when
     *     the response is neither a promotion nor a refusal
     */
    public static PromotionResult readPromotionResult(TargetResponse response) {
        if (response.status() == CONFLICT) {
            return new PromotionResult(false, readTerm(response), Optional.empty());
        }
        if (response.status() != OK) {
            throw unexpectedResponse(response, Verdict.MAY_HAVE_RUN);
        }
        PromotedBody body = parse(response, PromotedBody.class);
        return new PromotionResult(true, Optional.of(body.term()), Optional.of(body.position()));
    }

    private static Optional<Long> readTerm(TargetResponse response) {
        try {
            return parse(response, RefusalBody.class).term();
        } catch (PlantainferryException e) {
            // The status alone proves the refusal; the term is optional.
            return Optional.empty();
        }
    }

    private static TargetRequest post(String path, Object body) {
        return new TargetRequest("POST", path, Optional.of(Json.write(body)));
    }

    private static <T> T parse(TargetResponse response, Class<T> type) {
        try {
            T value = READER.forType(type).readValue(response.body());
            if (value == null) {
                throw unexpectedResponse(response, Verdict.MAY_HAVE_RUN);
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new PlantainferryException(
                    ErrorCode.TARGET_UNAVAILABLE,
                    "the server sent an answer that cannot be read: " + e.getOriginalMessage(),
                    Verdict.MAY_HAVE_RUN,
                    0,
                    e);
        }
    }

    private static TargetRefusal unreadableAnswer(String message) {
        return new TargetRefusal(
                RefusalReason.UNREADABLE, Optional.empty(), Optional.empty(), truncated(message));
    }

    private static PlantainferryException unexpectedResponse(
            TargetResponse response, Verdict verdict) {
        return new PlantainferryException(
                ErrorCode.TARGET_UNAVAILABLE,
                "the server answered " + response.status() + " " + truncated(response.body()),
                verdict,
                0,
                null);
    }

    private static String truncated(String text) {
        return text.length() <= MESSAGE_MAX_LENGTH ? text : text.substring(0, MESSAGE_MAX_LENGTH);
    }

    private record StatementBody(
            StatementKind kind,
            String statement,
            long term,
            long minimumPosition,
            Optional<String> requestId) {}

    private record TermBody(long term, Optional<String> requestId) {}

    private record ProposalBody(long term, String proposer) {}

    private record PromotedBody(long term, long position) {}

    private record RefusalBody(
            Optional<String> error,
            Optional<Long> term,
            Optional<Long> position,
            Optional<String> message) {
        RefusalBody {
            error = error == null ? Optional.empty() : error;
            term = term == null ? Optional.empty() : term;
            position = position == null ? Optional.empty() : position;
            message = message == null ? Optional.empty() : message;
        }

        TargetRefusal toRefusal(RefusalReason reason) {
            return new TargetRefusal(reason, term, position, truncated(message.orElse("")));
        }
    }
}
