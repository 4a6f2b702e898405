package org.plantainferry.verification.standin.group;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/**
 * Describes one entry of a server's log.
 *
 * @param position the position in the log; 1 for the first entry of the group
 * @param term the term in which a primary appended it
 * @param requestId the idempotency key of the request, or empty when it has none
 * @param statement the statements, joined with "; "; {@code TERM n} for the entry that begins a
 *     term
 * @param result the result stored with the entry; empty when there is none
 * @param statements the individual statements; empty for the entry that begins a term
 * @param appendedNanos the {@link System#nanoTime} at which the primary appended the entry
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
