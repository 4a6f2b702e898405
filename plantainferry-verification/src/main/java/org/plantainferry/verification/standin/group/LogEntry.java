package org.plantainferry.verification.standin.group;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/**
 * Is one entry of a server's log.
 *
 * @param position its place; 1 for the first entry of the group
 * @param term the term in which a primary appended it
 * @param requestId the idempotency key of the request, or empty
 * @param statement the statements, joined with "; "; {@code TERM n} for the entry that begins a
 *     term
 * @param result the result that was stored with it; empty for none
 * @param statements the statements one by one; empty for the entry that begins a term
 * @param appendedNanos when the primary appended it
 * @since 0.1
 */
public record LogEntry(
        long position,
        long term,
        @JsonInclude Optional<String> requestId,
        String statement,
        @JsonInclude Optional<String> result,
        @JsonIgnore List<String> statements,
        @JsonIgnore long appendedNanos) {}
