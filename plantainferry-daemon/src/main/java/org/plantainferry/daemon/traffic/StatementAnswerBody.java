package org.plantainferry.daemon.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import org.plantainferry.api.ServerId;

/**
 * Gives the form of a statement's result in JSON.
 *
 * @param result the result as the target gave it
 * @param server the server that ran the statement
 * @param role {@code primary} or {@code replica}
 * @param term the term of the server
 * @param position the log position that the result reflects
 * @since 0.1
 */
public record StatementAnswerBody(
        JsonNode result, ServerId server, String role, long term, long position) {}
