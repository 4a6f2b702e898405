package org.plantainferry.cli.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects what the log of one instance says about one request.
 *
 * <p>It holds the decisions about the request, and the state that the instance knew before the
 * first of them.
 *
 * @since 0.2
 */
public final class RequestExplanation {
    private static final String STARTED_CODE = "PF6001";
    // Sums up many requests and names two of them.
    private static final String SUM_CODE = "PF6330";

    private final String mRequestId;
    private final KnownStateLog mKnownState = new KnownStateLog();
    private final List<LogLine> mDecisions = new ArrayList<>();
    private final Set<String> mServers = new HashSet<>();
    private final Set<String> mServices = new HashSet<>();
    private String mInstance;

    /**
     * Creates an empty explanation.
     *
     * @param requestId the id of the request
     * @param logName the name of the log, used as the name of the instance until the log names it
     */
    public RequestExplanation(String requestId, String logName) {
        mRequestId = requestId;
        mInstance = logName;
    }

    /** Adds the next line of the log; lines must be added in the order of the log. */
    public void add(LogLine line) {
        if (line.code().equals(STARTED_CODE)) {
            mInstance = line.field("instance");
        }
        boolean isNamed =
                line.field("request").equals(mRequestId)
                        || line.field("refused-request").equals(mRequestId);
        if (isNamed) {
            addDecision(line);
        } else if (mDecisions.isEmpty()) {
            mKnownState.add(line);
        }
    }

    private void addDecision(LogLine line) {
        mDecisions.add(line);
        if (!line.field("server").isEmpty()) {
            mServers.add(line.field("server"));
            mServices.add(mKnownState.serviceOf(line.field("server")));
        }
        mServices.add(line.field("service"));
        mServices.remove("");
    }

    /** Returns whether the log has a decision about the request. */
    public boolean hasDecisions() {
        return !mDecisions.isEmpty();
    }

    /** Returns the first decision; there must be one. */
    public LogLine firstDecision() {
        return mDecisions.get(0);
    }

    /** Returns the state that the instance knew, with its age, and the decisions, line by line. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        lines.add("instance " + mInstance);
        for (LogLine state : mKnownState.linesFor(mServers, mServices)) {
            Duration age = Duration.between(state.time(), firstDecision().time());
            lines.add("  known for " + age.toMillis() + " ms: " + state.text());
        }
        for (LogLine decision : mDecisions) {
            Duration elapsed = Duration.between(firstDecision().time(), decision.time());
            lines.add("  after " + elapsed.toMillis() + " ms: " + decision.text());
        }
        lines.add("  " + DecisionSummary.of(lastDecision(), mRequestId));
        return lines;
    }

    /** Returns the last decision; a sum, which is logged later, only if there is no other. */
    private LogLine lastDecision() {
        return mDecisions.stream()
                .filter(line -> !line.code().equals(SUM_CODE))
                .reduce((earlier, later) -> later)
                .orElse(mDecisions.get(mDecisions.size() - 1));
    }
}
