package org.plantainferry.engine.evacuation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against statements that are sent to servers of an evacuated failure domain. */
public final class EvacuatedDomainsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private EvacuatedDomains mDomains;

    @BeforeMethod
    public void create() {
        mDomains = new EvacuatedDomains(5_000);
    }

    @Test
    public void closesReplicasAtOnceAndThePrimaryWellWithinTheBound() {
        mDomains.onDomains(Set.of("a"), SECOND);
        assertEquals(mDomains.closedFromNanos("a", false), Optional.of(SECOND));
        assertEquals(mDomains.closedFromNanos("a", true), Optional.of(3 * SECOND));
    }

    @Test
    public void keepsTheTimeOfAnEvacuationWhenAnotherOneFollows() {
        mDomains.onDomains(Set.of("a"), SECOND);
        mDomains.onDomains(Set.of("a", "b"), 2 * SECOND);
        assertEquals(mDomains.closedFromNanos("a", false), Optional.of(SECOND));
        assertEquals(mDomains.closedFromNanos("b", false), Optional.of(2 * SECOND));
    }

    @Test
    public void opensAFailureDomainWhoseEvacuationIsTakenBack() {
        mDomains.onDomains(Set.of("a"), SECOND);
        assertTrue(mDomains.isEvacuated("a"));
        mDomains.onDomains(Set.of(), 2 * SECOND);
        assertFalse(mDomains.isEvacuated("a"));
        assertEquals(mDomains.closedFromNanos("a", true), Optional.empty());
    }

    @Test
    public void startsANewGraceWhenAFailureDomainIsEvacuatedAgain() {
        mDomains.onDomains(Set.of("a"), SECOND);
        mDomains.onDomains(Set.of(), 2 * SECOND);
        mDomains.onDomains(Set.of("a"), 9 * SECOND);
        assertEquals(mDomains.closedFromNanos("a", true), Optional.of(11 * SECOND));
    }
}
