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

/** Asks many instances for their status at the same time. */
final class FleetStatusReader {
    private static final long TIMEOUT_SECONDS = 5;

    private final InstanceStatusReader mReader;

    FleetStatusReader(InstanceStatusReader reader) {
        mReader = reader;
    }

    /**
     * Holds an instance and what it answered.
     *
     * @param listed the entry in the platform's list
     * @param status its answer; empty when it did not answer
     */
    record InstanceResult(InstanceRecord instance, Optional<InstanceStatus> status) {
        /** Returns whether the instance has a version, or a later one, in force. */
        boolean hasVersion(long version) {
            return status.isPresent() && status.get().configurationVersion() >= version;
        }

        /** Returns whether the platform says that the instance is about to end. */
        boolean isLeaving() {
            return !instance.state().equals("live");
        }
    }

    List<InstanceResult> read(List<InstanceRecord> instances) {
        List<CompletableFuture<InstanceStatus>> calls = new ArrayList<>();
        instances.forEach(each -> calls.add(mReader.read(each.operatorAddress())));
        List<InstanceResult> answers = new ArrayList<>();
        for (int i = 0; i < calls.size(); i++) {
            InstanceRecord listed = instances.get(i);
            // An address that was taken over by a new instance tells nothing of the old one.
            answers.add(
                    new InstanceResult(
                            listed,
                            await(calls.get(i))
                                    .filter(status -> status.instance().equals(listed.id()))));
        }
        return answers;
    }

    private static Optional<InstanceStatus> await(CompletableFuture<InstanceStatus> call) {
        try {
            return Optional.of(call.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (ExecutionException | TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
