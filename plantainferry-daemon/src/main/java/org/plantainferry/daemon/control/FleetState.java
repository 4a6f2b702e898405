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

/** Holds the state that several controllers share; confined to the control thread. */
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

    /** Returns the rendezvous hash of the current members. */
    RendezvousHash rendezvousHash() {
        MembershipSnapshot snapshot = mMembership.snapshot();
        if (mRendezvousHash.version() != snapshot.version()) {
            mRendezvousHash = new RendezvousHash(snapshot);
        }
        return mRendezvousHash;
    }

    /** Applies the list of instances that the platform returned. */
    void onInstanceList(List<Member> members, long nowNanos) {
        mListedMembers = members;
        mInstanceListNanos = nowNanos;
        mHasInstanceList = true;
        mMembership.onPlatformList(members, nowNanos);
        mFreshness.onInstances(mMembership.failureDomains(), mMembership.isOnlyInstanceInDomain());
    }

    /** Returns the instances of the last list, empty before the first one. */
    List<Member> listedMembers() {
        return mListedMembers;
    }

    /** Returns whether there was a list of instances within the given age. */
    boolean hasRecentInstanceList(long nowNanos, long maximumAgeNanos) {
        return mHasInstanceList && nowNanos - mInstanceListNanos <= maximumAgeNanos;
    }
}
