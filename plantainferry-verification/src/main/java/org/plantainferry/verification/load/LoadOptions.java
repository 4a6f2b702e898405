package org.plantainferry.verification.load;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Command line options of the load command. */
final class LoadOptions {
    private static final long MILLIS_PER_SECOND = 1_000;

    @Parameter(
            names = "--addresses",
            required = true,
            description = "comma-separated IP:PORT of instances; loopback only")
    private List<String> mAddresses = new ArrayList<>();

    @Parameter(names = "--key", required = true, description = "the key that the callers present")
    private String mKey;

    @Parameter(names = "--service", required = true, description = "the service to call")
    private String mService;

    @Parameter(
            names = "--callers",
            description = "number of callers, each with one request at a time")
    private int mCallers = 16;

    @Parameter(
            names = "--rate",
            description = "requests per second of all callers; closed loop if absent")
    private Double mRatePerSecond;

    @Parameter(names = "--reads", description = "the share of reads in the requests, from 0 to 1")
    private double mReadShare = 0.9;

    @Parameter(
            names = "--sessions",
            description = "callers send the session token they received last")
    private boolean mUsesSessionTokens;

    @Parameter(names = "--roam", description = "callers use the next address for each request")
    private boolean mRotatesAddresses;

    @Parameter(names = "--seconds", description = "measured time in seconds")
    private long mDurationSeconds = 10;

    @Parameter(names = "--warm-up", description = "warm-up time in seconds, which is not measured")
    private long mWarmUpSeconds = 2;

    @Parameter(names = "--seed", description = "seed of the random choice of reads and writes")
    private long mSeed = 1;

    @Parameter(names = "--help", help = true, description = "shows this help")
    private boolean mHelp;

    boolean isHelp() {
        return mHelp;
    }

    LoadPlan toPlan() {
        return new LoadPlan(
                mAddresses,
                RequestFactory.forInstance(mService, mKey),
                mCallers,
                Optional.ofNullable(mRatePerSecond),
                mReadShare,
                mUsesSessionTokens,
                mRotatesAddresses,
                mWarmUpSeconds * MILLIS_PER_SECOND,
                mDurationSeconds * MILLIS_PER_SECOND,
                mSeed);
    }
}
