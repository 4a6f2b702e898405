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
    private final ConfigurationState mConfigurationState = new ConfigurationState();
    private final ConfigurationFreshness mFreshness;
    private final DrainState mDrain;
    private RendezvousHash mRendezvousHash;
    private List<Member> mListedMembers = List.of();
    private long mInstanceListNanos;
    private boolean mHasInstanceList;

    FleetState(Member self, MembershipTable membership, DrainState drain) {
        mSelf = self;
        mMembership = membership;
        mFreshness = new ConfigurationFreshness(self.failureDomain());
        mDrain = drain;
        mRendezvousHash = new RendezvousHash(membership.snapshot());
    }

    Member self() {
        return mSelf;
    }

    MembershipTable membership() {
        return mMembership;
    }

    ConfigurationState configurationState() {
        return mConfigurationState;
    }

    Configuration configuration() {
        return mConfigurationState.current();
    }

    ConfigurationFreshness freshness() {
        return mFreshness;
    }

    DrainState drain() {
        return mDrain;
    }

    /** Returns the ranking of the membership in force. */
    RendezvousHash rendezvousHash() {
        MembershipSnapshot snapshot = mMembership.snapshot();
        if (mRendezvousHash.version() != snapshot.version()) {
            mRendezvousHash = new RendezvousHash(snapshot);
        }
        return mRendezvousHash;
    }

    void onInstanceList(List<Member> members, long nowNanos) {
        mListedMembers = members;
        mInstanceListNanos = nowNanos;
        mHasInstanceList = true;
        mMembership.onPlatformList(members, nowNanos);
        mFreshness.onInstances(mMembership.failureDomains(), mMembership.isOnlyInstanceInDomain());
    }

    List<Member> listedMembers() {
        return mListedMembers;
    }

    boolean hasRecentInstanceList(long nowNanos, long maximumAgeNanos) {
        return mHasInstanceList && nowNanos - mInstanceListNanos <= maximumAgeNanos;
    }
}
