package org.plantainferry.daemon.traffic;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.plantainferry.api.InstanceId;

/**
 * Finds the open transactions of this instance; safe for use by several threads.
 *
 * <p>An identifier names the instance that holds the transaction and carries 128 random bits, so
 * that nobody can guess the transaction of another caller.
 */
final class TransactionRegistry {
    private static final String SEPARATOR = ":";
    private static final int RANDOM_BYTES = 16;

    private final InstanceId mInstance;
    private final SecureRandom mRandom = new SecureRandom();
    private final Map<String, PinnedTransaction> mTransactions = new ConcurrentHashMap<>();

    TransactionRegistry(InstanceId instance) {
        mInstance = instance;
    }

    String add(PinnedTransaction transaction) {
        byte[] bytes = new byte[RANDOM_BYTES];
        mRandom.nextBytes(bytes);
        String secret = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        String id = mInstance + SEPARATOR + secret;
        transaction.setOnEnd(() -> mTransactions.remove(id));
        mTransactions.put(id, transaction);
        return id;
    }

    Optional<PinnedTransaction> find(String id) {
        return Optional.ofNullable(mTransactions.get(id));
    }

    /** Returns the instance that an identifier names. */
    static Optional<InstanceId> holdingInstance(String id) {
        int separator = id.indexOf(SEPARATOR);
        if (separator <= 0 || !id.substring(0, separator).matches("[a-z0-9][a-z0-9._-]{0,63}")) {
            return Optional.empty();
        }
        return Optional.of(new InstanceId(id.substring(0, separator)));
    }

    List<PinnedTransaction> findMatching(Predicate<PinnedTransaction> condition) {
        return mTransactions.values().stream().filter(condition).toList();
    }

    int size() {
        return mTransactions.size();
    }
}
