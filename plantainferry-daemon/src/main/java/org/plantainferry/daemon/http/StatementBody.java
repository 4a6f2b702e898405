package org.plantainferry.daemon.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.StatementKind;

/**
 * Holds the JSON body of a statement request.
 *
 * @param statement the text of the statement
 * @param kind whether it may write; can be null on open routes, which only read
 */
record StatementBody(
        @JsonProperty("statement") String statement, @JsonProperty("kind") StatementKind kind) {
    StatementBody {
        if (statement == null || statement.isBlank()) {
            throw new PlantainferryException(
                    ErrorCode.REQUEST_MALFORMED, "body: statement must not be blank");
        }
    }
}
