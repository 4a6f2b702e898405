package org.plantainferry.network.target;

/**
 * Holds the answer to a statement, begin, commit or rollback: a result or a refusal.
 *
 * @since 0.1
 */
public sealed interface StatementAnswer permits StatementResult, TargetRefusal {}
