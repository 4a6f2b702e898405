package org.plantainferry.daemon.control;

import java.util.List;
import org.plantainferry.api.configuration.Configuration;
import org.plantainferry.engine.configuration.ConfigurationFreshness;
import org.plantainferry.engine.configuration.ConfigurationState;
import org.plantainferry.engine.drain.DrainState;
import org.plantainferry.engine.membership.Member;
import org.plantainferry.engine.membership.MembershipSnapshot;
import org.plantainferry.engine.membership.MembershipTable;
import org.plantainferry.engine.membership.RendezvousHash;

/** Holds the state that several parts of control share; touched by the control thread only. */
final class FleetState {
    private final Member mSelf;
    private final MembershipTable mMembership;
    private final ConfigurationState mConfiguration = new ConfigurationState();
    private final ConfigurationFreshness mFreshness;
    private final DrainState mDrain;
    private RendezvousHash mHash;
    private List<Member> mListed = List.of();
    private long mListedNanos;
    private boolean mListKnown;

    FleetState(Member self, MembershipTable membership, DrainState drain) {
        mSelf = self;
        mMembership = membership;
        mFreshness = new ConfigurationFreshness(self.failureDomain());
        mDrain = drain;
        mHash = new RendezvousHash(membership.snapshot());
    }

    Member self() {
        return mSelf;
    }

    MembershipTable membership() {
        return mMembership;
    }

    ConfigurationState configurations() {
        return mConfiguration;
    }

    Configuration configuration() {
        return mConfiguration.current();
    }

    ConfigurationFreshness freshness() {
        return mFreshness;
    }

    DrainState drain() {
        return mDrain;
    }

    /** Returns the ranking of the membership in force. */
    RendezvousHash hash() {
        MembershipSnapshot snapshot = mMembership.snapshot();
        if (mHash.version() != snapshot.version()) {
            mHash = new RendezvousHash(snapshot);
        }
        return mHash;
    }

    void onPlatformList(List<Member> members, long nowNanos) {
        mListed = members;
        mListedNanos = nowNanos;
        mListKnown = true;
        mMembership.onPlatformList(members, nowNanos);
        mFreshness.onInstances(mMembership.failureDomains(), mMembership.isOnlyInstanceInDomain());
    }

    List<Member> listed() {
        return mListed;
    }

    boolean isListKnown(long nowNanos, long maximumAgeNanos) {
        return mListKnown && nowNanos - mListedNanos <= maximumAgeNanos;
    }
}
