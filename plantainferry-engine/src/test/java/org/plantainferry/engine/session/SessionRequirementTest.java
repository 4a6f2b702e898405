package org.plantainferry.engine.session;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import java.util.Optional;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.Verdict;
import org.plantainferry.api.WorkspaceName;
import org.plantainferry.api.session.LogPosition;
import org.plantainferry.api.session.SessionToken;
import org.testng.annotations.Test;

/** Guards against sessions that go back in time or cross workspaces. */
public class SessionRequirementTest {
    private static final WorkspaceName BENCH = new WorkspaceName("bench");
    private static final ServiceName LEDGER = new ServiceName("ledger");
    private static final SessionToken TOKEN =
            new SessionToken(BENCH, LEDGER, new LogPosition(3, 41));

    private static void assertRefused(WorkspaceName workspace, ServiceName service) {
        PlantainferryException refusal =
                expectThrows(
                        PlantainferryException.class,
                        () -> SessionRequirement.of(Optional.of(TOKEN), workspace, service));
        assertEquals(refusal.code(), ErrorCode.SESSION_TOKEN_INVALID);
        assertEquals(refusal.verdict(), Verdict.NOT_RUN);
    }

    /** A token of another tenant must not be accepted. */
    @Test
    public void refusesTokenOfAnotherWorkspace() {
        assertRefused(new WorkspaceName("counter"), LEDGER);
    }

    /** Positions of different services have nothing to do with each other. */
    @Test
    public void refusesTokenOfAnotherService() {
        assertRefused(BENCH, new ServiceName("parts"));
    }

    /** A request without a token must not wait for anything. */
    @Test
    public void demandsNothingWithoutToken() {
        assertEquals(
                SessionRequirement.of(Optional.empty(), BENCH, LEDGER).minimum(),
                LogPosition.START);
    }

    /** An answer of an earlier place must not lower what the session demands. */
    @Test
    public void keepsTheLatestPlaceInTheNextToken() {
        SessionRequirement requirement = SessionRequirement.of(Optional.of(TOKEN), BENCH, LEDGER);
        assertEquals(requirement.nextToken(new LogPosition(2, 30)), TOKEN);
        assertEquals(requirement.nextToken(new LogPosition(4, 50)).seen(), new LogPosition(4, 50));
        assertFalse(requirement.isSatisfiedBy(new LogPosition(3, 40)));
        assertFalse(requirement.isSatisfiedBy(new LogPosition(2, 41)));
    }
}
