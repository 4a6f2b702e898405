package org.plantainferry.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.plantainferry.network.operator.InstanceStatus;
import org.plantainferry.network.operator.InstanceStatusReader;
import org.plantainferry.network.store.InstanceRecord;

/** Reads the status of several instances concurrently. */
final class FleetStatusReader {
    private static final long TIMEOUT_SECONDS = 5;

    private final InstanceStatusReader mReader;

    FleetStatusReader(InstanceStatusReader reader) {
        mReader = reader;
    }

    /**
     * Holds an instance and the status that it returned.
     *
     * @param instance the instance's entry in the platform's list
     * @param status its status; empty when it did not answer
     */
    record InstanceResult(InstanceRecord instance, Optional<InstanceStatus> status) {
        /** Returns whether this or a later version is in force on the instance. */
        boolean hasVersion(long version) {
            return status.isPresent() && status.get().configurationVersion() >= version;
        }

        /** Returns whether the platform lists the instance in a state other than {@code live}. */
        boolean isLeaving() {
            return !instance.state().equals("live");
        }
    }

    /** Reads the status of each instance; the results have the order of the instances. */
    List<InstanceResult> read(List<InstanceRecord> instances) {
        List<CompletableFuture<InstanceStatus>> futures = new ArrayList<>();
        instances.forEach(instance -> futures.add(mReader.read(instance.operatorAddress())));
        List<InstanceResult> results = new ArrayList<>();
        for (int i = 0; i < futures.size(); i++) {
            InstanceRecord instance = instances.get(i);
            // A status from another instance that now has this address is ignored.
            results.add(
                    new InstanceResult(
                            instance,
                            await(futures.get(i))
                                    .filter(status -> status.instance().equals(instance.id()))));
        }
        return results;
    }

    private static Optional<InstanceStatus> await(CompletableFuture<InstanceStatus> future) {
        try {
            return Optional.of(future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
