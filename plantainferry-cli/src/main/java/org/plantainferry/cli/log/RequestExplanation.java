package org.plantainferry.cli.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects what the log of one instance says about one request.
 *
 * <p>It holds the decisions about the request, and what the instance believed before the first of
 * them.
 *
 * @since 0.2
 */
public final class RequestExplanation {
    private static final String STARTED_CODE = "PF6001";

    private final String mRequestId;
    private final KnownStateLog mKnownState = new KnownStateLog();
    private final List<LogLine> mDecisions = new ArrayList<>();
    private final Set<String> mServers = new HashSet<>();
    private final Set<String> mServices = new HashSet<>();
    private String mInstance;

    /**
     * Creates an explanation without lines.
     *
     * @param request the id of the request
     * @param name the name of the log, which stands for the instance until the log names it
     */
    public RequestExplanation(String request, String name) {
        mRequestId = request;
        mInstance = name;
    }

    /** Takes over the next line of the log. */
    public void add(LogLine line) {
        if (line.code().equals(STARTED_CODE)) {
            mInstance = line.field("instance");
        }
        if (line.field("request").equals(mRequestId)) {
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

    /** Returns whether the log has a line about the request. */
    public boolean hasDecisions() {
        return !mDecisions.isEmpty();
    }

    /** Returns the time of the first decision; only when there is one. */
    public LogLine firstDecision() {
        return mDecisions.get(0);
    }

    /** Returns the lines to show: what the instance believed, with ages, and its decisions. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        lines.add("instance " + mInstance);
        for (LogLine belief : mKnownState.linesFor(mServers, mServices)) {
            Duration age = Duration.between(belief.time(), firstDecision().time());
            lines.add("  believed for " + age.toMillis() + " ms: " + belief.text());
        }
        for (LogLine decision : mDecisions) {
            Duration after = Duration.between(firstDecision().time(), decision.time());
            lines.add("  after " + after.toMillis() + " ms: " + decision.text());
        }
        lines.add("  " + DecisionSummary.of(mDecisions.get(mDecisions.size() - 1)));
        return lines;
    }
}
