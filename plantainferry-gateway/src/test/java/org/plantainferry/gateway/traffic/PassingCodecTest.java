package org.plantainferry.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.engine.catalog.DatabaseRoute;
import org.plantainferry.engine.catalog.ReadGuarantee;
import org.plantainferry.engine.sessionstate.PreparedStatementDefinition;
import org.plantainferry.engine.sessionstate.SessionState;
import org.plantainferry.gateway.peer.generated.PassedAnswer;
import org.plantainferry.gateway.peer.generated.PassedOperation;
import org.plantainferry.gateway.peer.generated.PassedStep;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.Statement;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against an operation that a host runs with another content or a weaker guarantee. */
public final class PassingCodecTest {
    private static final LogPosition POSITION = new LogPosition(3, 14);
    private static final DatabaseRoute ROUTE =
            new DatabaseRoute(
                    "database", "service", ReadGuarantee.SESSION, 1_500, 800, 150, 2, false);

    private static OperationContext context(long startedNanos) {
        SessionPositions positions = new SessionPositions();
        positions.record("service", POSITION);
        positions.record("other", new LogPosition(9, 99));
        SessionState state = new SessionState();
        state.set("colour", "red");
        return new OperationContext("workspace", ROUTE, state, positions, startedNanos);
    }

    @Test
    public void keepsTheContextOfAnOperation() throws Exception {
        long sentNanos = TimeUnit.SECONDS.toNanos(50);
        long startedNanos = sentNanos - TimeUnit.MILLISECONDS.toNanos(400);
        PassedOperation sent = PassingCodec.operation(context(startedNanos), sentNanos).build();
        PassedOperation received = PassedOperation.parseFrom(sent.toByteArray());
        OperationContext context = PassingCodec.context(received, -7);
        assertEquals(context.workspace(), "workspace");
        assertEquals(
                context.route(),
                new DatabaseRoute(
                        "database", "service", ReadGuarantee.SESSION, 1_500, 780, 150, 2, false));
        assertEquals(context.positions().of("service"), Optional.of(POSITION));
        assertEquals(context.startedNanos(), -7 - TimeUnit.MILLISECONDS.toNanos(400));
    }

    @Test
    public void refusesAGuaranteeOfALaterBuild() {
        PassedOperation unknown =
                PassingCodec.operation(context(0), 0).setGuarantee("STRONGER").build();
        assertThrows(IllegalArgumentException.class, () -> PassingCodec.context(unknown, 0));
    }

    /** Provides statements that sessions run. */
    @DataProvider
    public Object[][] statements() {
        PreparedStatementDefinition writing = new PreparedStatementDefinition(true, "q1 äöü");
        PreparedStatementDefinition reading = new PreparedStatementDefinition(false, "");
        return new Object[][] {
            {new PreparedStatement(new Statement.Read("item 1 "), Optional.empty(), false)},
            {new PreparedStatement(new Statement.Write("item ü"), Optional.empty(), true)},
            {new PreparedStatement(new Statement.Commit(), Optional.empty(), false)},
            {
                new PreparedStatement(
                        new Statement.Execute("s1", "item", true), Optional.of(writing), true)
            },
            {
                new PreparedStatement(
                        new Statement.Execute("s2", "", false), Optional.of(reading), false)
            },
        };
    }

    @Test(dataProvider = "statements")
    public void keepsStatementsAndVariables(PreparedStatement statement) throws Exception {
        byte[] bytes = PassingCodec.step(context(0), "q7", statement).toByteArray();
        PassedStep received = PassedStep.parseFrom(bytes);
        assertEquals(PassingCodec.statement(received), Optional.of(statement));
        assertEquals(received.getRequest(), "q7");
        SessionState state = new SessionState();
        PassingCodec.applyVariables(received, state);
        assertEquals(state.variables(), context(0).sessionState().variables());
    }

    @Test
    public void knowsNoStatementOfAKindOfALaterBuild() {
        PassedStep later = PassedStep.newBuilder().setKindValue(77).build();
        assertEquals(PassingCodec.statement(later), Optional.empty());
    }

    /** Provides results of statements. */
    @DataProvider
    public Object[][] results() {
        return new Object[][] {
            {new OperationResult.Done(List.of("row 1", ""), "signature")},
            {new OperationResult.Done(List.of(), "")},
            {OperationResult.Failed.notRun("no server was free in time", 150)},
            {new OperationResult.Failed(FailureCode.OUTCOME_UNKNOWN, "lost")},
        };
    }

    @Test(dataProvider = "results")
    public void keepsResults(OperationResult result) throws Exception {
        byte[] bytes = PassingCodec.answer(result, Optional.of(POSITION), true).toByteArray();
        PassedAnswer received = PassedAnswer.parseFrom(bytes);
        assertEquals(PassingCodec.result(received, true), result);
        assertEquals(PassingCodec.position(received), Optional.of(POSITION));
    }

    /** Guards against a failure of a later build that is taken for a promise. */
    @Test
    public void takesAnUnknownFailureOfAWriteAsInDoubt() {
        PassedAnswer later = PassedAnswer.newBuilder().setCode("LATER").setReason("new").build();
        assertEquals(
                PassingCodec.result(later, true),
                new OperationResult.Failed(FailureCode.OUTCOME_UNKNOWN, "new"));
        assertEquals(
                PassingCodec.result(later, false),
                new OperationResult.Failed(FailureCode.FAILED, "new"));
    }
}
