package org.plantainferry.gateway.settings;

import java.util.Optional;
import org.plantainferry.api.Preconditions;

/**
 * Holds what the machine gives to the process, and how much of it callers may use.
 *
 * @param machineMemoryMegabytes the memory that the process may use; empty if only its heap limits
 *     it
 * @param maxFileDescriptors the descriptors that the process may open; empty for the limit of the
 *     operating system
 * @param callerMemoryMegabytes the memory that may be held for all connections of callers; empty
 *     for a part of the memory
 * @param maxSessions the number of sessions that may be open; empty for a part of the descriptors
 * @since 0.6
 */
public record ResourceSettings(
        Optional<Long> machineMemoryMegabytes,
        Optional<Long> maxFileDescriptors,
        Optional<Long> callerMemoryMegabytes,
        Optional<Long> maxSessions) {
    /** The settings of a process that is told nothing of its machine. */
    public static final ResourceSettings NONE =
            new ResourceSettings(
                    Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

    private static final long BYTES_PER_MEGABYTE = 1024 * 1024;
    // Each byte of a message is held several times for a moment, and garbage comes on top.
    private static final int HEAP_DIVISOR = 4;
    private static final int MACHINE_DIVISOR = 8;
    // Descriptors that are kept for files.
    private static final long FILE_DESCRIPTORS = 200;
    private static final long MIN_SESSIONS = 64;

    /** Validates all values. */
    public ResourceSettings {
        requirePositive(machineMemoryMegabytes, "machineMemoryMegabytes");
        requirePositive(maxFileDescriptors, "maxFileDescriptors");
        requirePositive(callerMemoryMegabytes, "callerMemoryMegabytes");
        requirePositive(maxSessions, "maxSessions");
    }

    private static void requirePositive(Optional<Long> value, String name) {
        Preconditions.condition(
                value.isEmpty() || value.get() > 0, name + " must be positive when it is set");
    }

    /**
     * Returns the memory that may be held for connections.
     *
     * @param heapBytes the limit of the heap
     */
    public long callerMemoryBytes(long heapBytes) {
        long machineBytes =
                machineMemoryMegabytes
                        .map(megabytes -> megabytes * BYTES_PER_MEGABYTE / MACHINE_DIVISOR)
                        .orElse(Long.MAX_VALUE);
        return callerMemoryMegabytes
                .map(megabytes -> megabytes * BYTES_PER_MEGABYTE)
                .orElse(Math.min(heapBytes / HEAP_DIVISOR, machineBytes));
    }

    /**
     * Returns the number of sessions that may be open. A quarter of the descriptors is left for
     * connections to servers and other instances.
     *
     * @param systemDescriptors the limit of the operating system, used without one of the settings
     */
    public int sessionLimit(long systemDescriptors) {
        long descriptors = maxFileDescriptors.orElse(systemDescriptors) - FILE_DESCRIPTORS;
        long limit = maxSessions.orElse(Math.max(MIN_SESSIONS, descriptors / 4 * 3));
        return (int) Math.min(Integer.MAX_VALUE, limit);
    }
}
