package org.plantainferry.daemon.traffic;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.ServiceName;
import org.plantainferry.api.configuration.OpenRoute;
import org.plantainferry.engine.configuration.AuthenticationResult;
import org.plantainferry.engine.configuration.Freshness;
import org.plantainferry.engine.configuration.KeyReference;

/**
 * Decides on keys from the latest snapshot.
 *
 * @since 0.1
 */
public final class SnapshotCallerAuthenticator implements CallerAuthenticator {
    private final Supplier<TrafficSnapshot> mSnapshot;
    private final LongSupplier mClock;

    /** Creates an authority that reads the snapshot at each call. */
    public SnapshotCallerAuthenticator(Supplier<TrafficSnapshot> snapshot, LongSupplier clock) {
        mSnapshot = snapshot;
        mClock = clock;
    }

    @Override
    public AuthenticatedKey authenticate(String key, ServiceName service) {
        TrafficSnapshot snapshot = mSnapshot.get();
        Freshness freshness = snapshot.freshness().freshnessAt(mClock.getAsLong());
        KeyReference reference =
                requireGranted(snapshot.keys().authenticate(Optional.of(key), freshness));
        requireServiceAllowed(snapshot, reference, service);
        return new AuthenticatedKey(reference.workspace(), reference.keyId());
    }

    private static KeyReference requireGranted(AuthenticationResult authentication) {
        if (authentication instanceof AuthenticationResult.Granted granted) {
            return granted.key();
        }
        throw ((AuthenticationResult.Refused) authentication).toException();
    }

    private static void requireServiceAllowed(
            TrafficSnapshot snapshot, KeyReference reference, ServiceName service) {
        Optional<AuthenticationResult.Refused> refusal =
                snapshot.keys().checkServiceAccess(reference.workspace(), service);
        if (refusal.isPresent()) {
            throw refusal.get().toException();
        }
    }

    @Override
    public OpenRoute openRoute(String name) {
        return mSnapshot
                .get()
                .keys()
                .openRoute(name)
                .orElseThrow(
                        () ->
                                new PlantainferryException(
                                        ErrorCode.NOT_FOUND, "no such open route"));
    }

    @Override
    public void verifyStillValid(CallerRequest request) {
        if (request.keyId().isEmpty()) {
            return;
        }
        TrafficSnapshot snapshot = mSnapshot.get();
        Freshness freshness = snapshot.freshness().freshnessAt(mClock.getAsLong());
        KeyReference reference = new KeyReference(request.workspace(), request.keyId().get());
        requireGranted(snapshot.keys().reauthenticate(reference, freshness));
        requireServiceAllowed(snapshot, reference, request.service());
    }
}
