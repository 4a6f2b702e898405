package org.plantainferry.verification.bench;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Holds the options of the bench command. */
final class BenchOptions {
    @Parameter(description = "speed, slopes, engine, policy or replicas", required = true)
    private List<String> mMeasurement = new ArrayList<>();

    @Parameter(names = "--seconds", description = "measured time of each row")
    private long mSeconds = 6;

    @Parameter(names = "--seed", description = "seed of the random choices")
    private long mSeed = 1;

    @Parameter(names = "--stops", description = "stops of the primary for each policy")
    private int mStops = 5;

    @Parameter(names = "--output", description = "directory of the result files")
    private String mOutput = "measurements";

    @Parameter(names = "--help", help = true, description = "shows this help")
    private boolean mHelp;

    boolean isHelp() {
        return mHelp;
    }

    String measurement() {
        return mMeasurement.get(0);
    }

    long seconds() {
        return mSeconds;
    }

    long seed() {
        return mSeed;
    }

    int primaryStops() {
        return mStops;
    }

    Path resultFile() {
        return Path.of(mOutput, measurement() + ".txt");
    }
}
