package org.plantainferry.verification.history;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.plantainferry.api.json.Json;

/**
 * Records calls, events and samples from several threads, in memory and as lines of JSON.
 *
 * @since 0.1
 */
public final class HistoryRecorder implements AutoCloseable {
    private final List<CallRecord> mCalls = new ArrayList<>();
    private final List<HistoryEvent> mEvents = new ArrayList<>();
    private final List<VersionSample> mSamples = new ArrayList<>();
    private final BufferedWriter mWriter;

    /**
     * Creates a recorder that writes to a new file.
     *
     * @throws UncheckedIOException when the file cannot be written
     */
    public HistoryRecorder(Path file) {
        try {
            mWriter = Files.newBufferedWriter(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Adds a call. */
    public synchronized void add(CallRecord call) {
        mCalls.add(call);
        write(call);
    }

    /** Adds an event. */
    public synchronized void add(HistoryEvent event) {
        mEvents.add(event);
        write(event);
    }

    /** Adds a sample. */
    public synchronized void add(VersionSample sample) {
        mSamples.add(sample);
        write(sample);
    }

    /** Returns everything recorded so far together with what the outside knows. */
    public synchronized History toHistory(
            Map<String, GroupTruth> truths, Map<String, RateLimit> limits) {
        return new History(mCalls, mEvents, mSamples, truths, limits);
    }

    @Override
    public synchronized void close() {
        try {
            mWriter.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(Object line) {
        try {
            mWriter.write(Json.write(line));
            mWriter.newLine();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
