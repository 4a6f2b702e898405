package org.plantainferry.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.plantainferry.api.ErrorCode;
import org.plantainferry.api.PlantainferryException;
import org.plantainferry.api.Verdict;
import org.plantainferry.cli.log.LogLine;
import org.plantainferry.cli.log.RequestExplanation;

/** Shows from the logs of gateways what happened to a request. */
@Parameters(
        commandDescription =
                "Shows the decisions about a request in the logs of gateways, and the state that"
                        + " each instance knew")
final class ExplainCommand implements Command {
    private static final int MIN_ARGUMENTS = 2;

    @Parameter(description = "REQUEST_ID LOGFILE...", required = true)
    private List<String> mArguments = new ArrayList<>();

    @Override
    public Outcome run(CommandContext context) {
        if (mArguments.size() < MIN_ARGUMENTS) {
            return Outcome.badUsage(
                    "A request id and at least one log file are needed.",
                    "name the logs of all instances of the caller's failure domain.");
        }
        String requestId = mArguments.get(0);
        List<RequestExplanation> found = new ArrayList<>();
        for (String file : mArguments.subList(1, mArguments.size())) {
            RequestExplanation explanation = read(requestId, Path.of(file));
            if (explanation.hasDecisions()) {
                found.add(explanation);
            }
        }
        if (found.isEmpty()) {
            return Outcome.refused(
                    "No log has a line about request " + requestId + ".",
                    "a request that succeeded at the first attempt has no lines, and one that was"
                            + " refused for lack of room may be in the sums PF6310 and PF6330 only;"
                            + " otherwise name the logs of other instances.");
        }
        found.sort(Comparator.comparing(explanation -> explanation.firstDecision().time()));
        List<String> lines =
                found.stream().flatMap(explanation -> explanation.describe().stream()).toList();
        return Outcome.done(
                        ChangeStatus.NO, "These are all decisions about request " + requestId + ".")
                .withDetails(lines, lines);
    }

    private static RequestExplanation read(String requestId, Path file) {
        RequestExplanation explanation =
                new RequestExplanation(requestId, file.getFileName().toString());
        try (Stream<String> lines = Files.lines(file)) {
            lines.map(LogLine::parse).flatMap(Optional::stream).forEach(explanation::add);
            return explanation;
        } catch (IOException | UncheckedIOException e) {
            throw new PlantainferryException(
                    ErrorCode.ARGUMENT_INVALID, "cannot read " + file, Verdict.NOT_RUN, 0, e);
        }
    }

    @Override
    public String example() {
        return "plantainferry explain 5c0e7a21d94b36f8 como-1.log como-2.log";
    }
}
