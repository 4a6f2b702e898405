package org.plantainferry.daemon.traffic;

import java.util.Optional;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.engine.session.SessionRequirement;
import org.plantainferry.network.target.StatementResult;

/** Creates the answers to successful requests, with a session token where there is a position. */
final class CallerAnswerFactory {
    private final SessionTokenCodec mTokens;
    private final StatementCounter mCounter;

    CallerAnswerFactory(SessionTokenCodec tokens, StatementCounter counter) {
        mTokens = tokens;
        mCounter = counter;
    }

    CallerAnswer statementAnswer(
            SessionRequirement session, ServerId server, StatementResult result) {
        mCounter.count(session.service(), result.role().wireName());
        StatementAnswerBody body =
                new StatementAnswerBody(
                        result.result(),
                        server,
                        result.role().wireName(),
                        result.term(),
                        result.position());
        String token = mTokens.encode(session.nextToken(result.logPosition()));
        return CallerAnswer.result(body, Optional.of(token));
    }

    CallerAnswer transactionAnswer(String id) {
        return CallerAnswer.result(new TransactionBody(id), Optional.empty());
    }

    private record TransactionBody(String transaction) {}
}
