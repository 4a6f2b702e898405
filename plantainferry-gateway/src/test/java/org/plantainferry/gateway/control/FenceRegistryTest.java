package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.plantainferry.engine.promotion.GroupFence;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards which primaries may be used around a replacement. */
public final class FenceRegistryTest {
    private static final String SERVICE = "svc";

    private long mNowNanos;
    private FenceRegistry mRegistry;

    @BeforeMethod
    public void createRegistry() {
        mNowNanos = 0;
        mRegistry = new FenceRegistry(() -> mNowNanos);
    }

    private void mergeOrder(long token, String server, long term) {
        mRegistry.merge(
                SERVICE, new GroupFence(token, false, new PromotionOrder(token + 1, server, term)));
    }

    @Test
    public void allowsAnyPrimaryBeforeAReplacement() {
        assertEquals(mRegistry.allowedPrimaries(), Map.of());
    }

    @Test
    public void allowsNoPrimaryWhileAReplacementIsAnnounced() {
        mRegistry.merge(SERVICE, GroupFence.NONE.withAnnounced(1));

        assertEquals(mRegistry.allowedPrimaries(), Map.of(SERVICE, ""));
    }

    @Test
    public void allowsNoPrimaryUntilTheOrderedServerIsVerified() {
        mergeOrder(1, "s2", 0);

        assertEquals(mRegistry.allowedPrimaries(), Map.of(SERVICE, ""));
        assertFalse(mRegistry.verifyPrimary(SERVICE, "s1", 1));
        assertEquals(mRegistry.allowedPrimaries(), Map.of(SERVICE, ""));
        assertTrue(mRegistry.verifyPrimary(SERVICE, "s2", 2));
        assertEquals(mRegistry.allowedPrimaries(), Map.of(SERVICE, "s2"));
    }

    @Test
    public void allowsTheOrderedServerReportedAsPrimaryByAnotherInstance() {
        mergeOrder(1, "s2", 2);

        assertEquals(mRegistry.allowedPrimaries(), Map.of(SERVICE, "s2"));
        assertFalse(mRegistry.needsVerification(SERVICE, "s2"));
        assertTrue(mRegistry.needsVerification(SERVICE, "s1"));
    }

    @Test
    public void rejectsAVerifiedPrimaryAfterANewerOrder() {
        mergeOrder(1, "s2", 2);
        mergeOrder(3, "s3", 0);

        assertEquals(mRegistry.allowedPrimaries(), Map.of(SERVICE, ""));
        assertFalse(mRegistry.verifyPrimary(SERVICE, "s2", 2));
    }

    /**
     * The pattern: the answer to an order is lost, and the platform carries it out seconds later.
     */
    @Test
    public void treatsAnUnansweredOrderAsExecutableUntilTheTimeout() {
        PromotionOrder order = new PromotionOrder(2, "s2", 0);

        assertTrue(mRegistry.mayStillBeExecuted(SERVICE, order));
        mNowNanos = TimeUnit.SECONDS.toNanos(5);
        assertTrue(mRegistry.mayStillBeExecuted(SERVICE, order));
        mNowNanos = TimeUnit.SECONDS.toNanos(7);
        assertFalse(mRegistry.mayStillBeExecuted(SERVICE, order));
    }

    /** The pattern: the instance that replaces a primary dies before its order. */
    @Test
    public void releasesAGroupWhoseReplacementDoesNotEnd() {
        mergeOrder(1, "s2", 2);
        mRegistry.merge(SERVICE, mRegistry.fence(SERVICE).withAnnounced(5));
        mNowNanos = TimeUnit.SECONDS.toNanos(9);
        mRegistry.expire();

        assertEquals(mRegistry.allowedPrimaries(), Map.of(SERVICE, "s2"));
    }
}
