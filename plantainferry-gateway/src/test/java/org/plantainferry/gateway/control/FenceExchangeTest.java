package org.plantainferry.gateway.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.plantainferry.engine.promotion.PromotionOrder;
import org.plantainferry.gateway.peer.generated.LeadFence;
import org.plantainferry.gateway.peer.generated.LeadFenceConfirmation;
import org.plantainferry.gateway.spi.InstanceEntry;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against two primaries in use, after announcements or confirmations came late or twice. */
public final class FenceExchangeTest {
    private static final String SERVICE = "service";

    private final List<Boolean> mOutcomes = new ArrayList<>();
    private ExchangeFixture mFixture;
    private FenceRegistry mRegistry;
    private FenceExchange mExchange;

    @BeforeMethod
    public void createExchange() {
        mFixture = new ExchangeFixture();
        mRegistry = new FenceRegistry(mFixture::nowNanos);
        mExchange =
                new FenceExchange(
                        mFixture.loop(), "i1", mFixture.peers(), mFixture::nowNanos, mRegistry);
        mOutcomes.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mFixture.close();
    }

    private static Map<String, InstanceEntry> others() {
        Map<String, InstanceEntry> others = new HashMap<>();
        for (String name : List.of("i2", "i3", "i4", "i5")) {
            others.put(name, ExchangeFixture.entry(name, "zone"));
        }
        return others;
    }

    private void block(long token) {
        mExchange.block(SERVICE, token, others(), mOutcomes::add);
    }

    private void confirm(String instance, long token) {
        mExchange.onConfirmation(
                instance,
                LeadFenceConfirmation.newBuilder().setService(SERVICE).setToken(token).build());
    }

    private static LeadFence announcement(long token, boolean blocked) {
        return LeadFence.newBuilder()
                .setService(SERVICE)
                .setToken(token)
                .setBlocked(blocked)
                .build();
    }

    @Test(timeOut = 20_000)
    public void countsAConfirmationThatArrivesTwiceOnce() throws Exception {
        mFixture.run(
                () -> {
                    block(5);
                    for (int copy = 0; copy < 4; copy++) {
                        confirm("i2", 5);
                    }
                    mFixture.advanceMillis(2_000);
                    confirm("i2", 5);
                });
        assertEquals(mOutcomes, List.of());
    }

    @Test(timeOut = 20_000)
    public void ignoresConfirmationsOfAnEarlierReplacement() throws Exception {
        mFixture.run(
                () -> {
                    block(5);
                    mExchange.release(SERVICE, 5, PromotionOrder.NONE);
                    block(7);
                    others().keySet().forEach(instance -> confirm(instance, 5));
                });
        assertEquals(mOutcomes, List.of());
    }

    @Test(timeOut = 20_000)
    public void endsOnceWhenConfirmationsArriveTwice() throws Exception {
        mFixture.run(
                () -> {
                    block(5);
                    others().keySet().forEach(instance -> confirm(instance, 5));
                    others().keySet().forEach(instance -> confirm(instance, 5));
                });
        assertEquals(mOutcomes, List.of(true));
    }

    /** Guards against an order while instances whose entries the store has lost use the primary. */
    @Test(timeOut = 20_000)
    public void waitsForKnownInstancesThatTheStoreDoesNotList() throws Exception {
        mFixture.run(
                () -> {
                    mExchange.onOtherInstances(others());
                    mExchange.block(SERVICE, 5, Map.of(), mOutcomes::add);
                });
        assertEquals(mOutcomes, List.of());
        mFixture.run(() -> others().keySet().forEach(instance -> confirm(instance, 5)));
        assertEquals(mOutcomes, List.of(true));
    }

    /** Guards against an order after the other instances have released the group by themselves. */
    @Test(timeOut = 20_000)
    public void givesUpWhenConfirmationsArriveAfterTheOthersMayHaveReleasedTheGroup()
            throws Exception {
        mFixture.run(
                () -> {
                    block(5);
                    confirm("i2", 5);
                    confirm("i3", 5);
                    mFixture.advanceMillis(10_000);
                    confirm("i4", 5);
                    confirm("i5", 5);
                });
        assertEquals(mOutcomes, List.of(false));
    }

    @Test(timeOut = 20_000)
    public void staysReleasedWhenTheAnnouncementArrivesAgain() {
        mExchange.merge(announcement(5, true));
        assertEquals(mRegistry.allowedPrimaries(), Map.of(SERVICE, ""));
        mExchange.merge(announcement(5, false));
        mExchange.merge(announcement(5, true));
        assertEquals(mRegistry.allowedPrimaries(), Map.of());
    }

    @Test(timeOut = 20_000)
    public void staysBlockedWhenTheReleaseOfAnEarlierReplacementArrivesLate() {
        mExchange.merge(announcement(7, true));
        mExchange.merge(announcement(5, false));
        assertEquals(mRegistry.allowedPrimaries(), Map.of(SERVICE, ""));
    }
}
