package org.plantainferry.daemon.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import org.plantainferry.api.ServerId;

/**
 * Defines the JSON form of the result of a statement.
 *
 * @param result the result as returned by the target
 * @param server the server that ran the statement
 * @param role the role of the server, {@code primary} or {@code replica}
 * @param term the term of the server
 * @param position the log position that the result reflects
 * @since 0.1
 */
public record StatementAnswerBody(
        JsonNode result, ServerId server, String role, long term, long position) {}
