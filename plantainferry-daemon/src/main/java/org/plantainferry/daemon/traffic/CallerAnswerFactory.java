package org.plantainferry.daemon.traffic;

import java.util.Optional;
import org.plantainferry.api.ServerId;
import org.plantainferry.api.session.SessionTokenCodec;
import org.plantainferry.engine.session.SessionRequirement;
import org.plantainferry.network.target.StatementResult;

/** Turns results of targets into answers with a session token. */
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
