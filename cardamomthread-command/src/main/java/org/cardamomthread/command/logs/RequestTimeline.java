package org.cardamomthread.command.logs;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The log lines of a request from several nodes in chronological order, with related lines about
 * its endpoints and about the nodes that served it.
 *
 * <p>Immutable.
 *
 * @param lines the lines in chronological order
 * @param unreadableLineCount the number of log lines that could not be parsed
 */
public record RequestTimeline(List<LogLine> lines, long unreadableLineCount) {

    /**
     * Covers clock differences between hosts and removals of endpoints that are reported seconds
     * late.
     */
    private static final Duration CONTEXT_WINDOW = Duration.ofSeconds(5);

    private static final Pattern LIST_ITEM = Pattern.compile("[^\\[\\], ]+");

    /** Copies the lines. */
    public RequestTimeline {
        lines = List.copyOf(lines);
    }

    /**
     * Collects the lines of a request and the related lines from logs.
     *
     * @param requestId the id of the request
     * @param files the log files, one per node
     * @return the timeline, without lines if no log contains the request
     * @throws IOException if a file cannot be read
     */
    public static RequestTimeline collect(String requestId, List<Path> files) throws IOException {
        Objects.requireNonNull(requestId, "requestId must not be null");
        LogReader reader = new LogReader();
        List<LogLine> requestLines = new ArrayList<>();
        for (Path file : files) {
            reader.read(
                    file,
                    line -> {
                        if (line.hasField("request", requestId)) {
                            requestLines.add(line);
                        }
                    });
        }
        long unreadableLineCount = reader.unreadableLineCount();
        if (requestLines.isEmpty()) {
            return new RequestTimeline(requestLines, unreadableLineCount);
        }
        List<LogLine> lines = new ArrayList<>(requestLines);
        ContextCollector context = new ContextCollector(requestLines);
        for (Path file : files) {
            reader.read(file, context::accept);
        }
        lines.addAll(context.contextLines());
        lines.sort(Comparator.comparing(LogLine::time));
        return new RequestTimeline(lines, unreadableLineCount);
    }

    /**
     * Collects lines that do not contain the request id but explain the decisions about the
     * request.
     */
    private static final class ContextCollector {

        private static final Set<String> ENDPOINT_EVENTS =
                Set.of("endpoint-opened", "endpoint-closed", "endpoint-changed", "endpoint-gone");
        private static final Set<String> NODE_EVENTS =
                Set.of("node-started", "node-stopping", "node-stopped", "settings-reloaded");

        private final Set<String> endpointIds = new HashSet<>();
        private final Set<Path> servingNodeLogs = new HashSet<>();
        private final Map<Path, LogLine> viewChanges = new HashMap<>();
        private final List<LogLine> nearbyLines = new ArrayList<>();
        private final Instant firstTime;
        private final Instant lastTime;

        ContextCollector(List<LogLine> requestLines) {
            Instant begin = Instant.MAX;
            Instant end = Instant.MIN;
            for (LogLine line : requestLines) {
                servingNodeLogs.add(line.file());
                begin = line.time().isBefore(begin) ? line.time() : begin;
                end = line.time().isAfter(end) ? line.time() : end;
                addEndpointIds(line.fields().get("endpoint"));
                addEndpointIds(line.fields().get("endpoints"));
            }
            firstTime = begin;
            lastTime = end;
        }

        private void addEndpointIds(String text) {
            Matcher matcher = LIST_ITEM.matcher(text == null ? "" : text);
            while (matcher.find()) {
                endpointIds.add(matcher.group());
            }
        }

        void accept(LogLine line) {
            boolean isServingNode = servingNodeLogs.contains(line.file());
            if (isServingNode
                    && line.event().equals("view-changed")
                    && !line.time().isAfter(firstTime)) {
                viewChanges.put(line.file(), line);
            }
            boolean isNear =
                    !line.time().isBefore(firstTime.minus(CONTEXT_WINDOW))
                            && !line.time().isAfter(lastTime.plus(CONTEXT_WINDOW));
            boolean isAboutEndpoint =
                    ENDPOINT_EVENTS.contains(line.event())
                            && endpointIds.contains(line.fields().get("endpoint"));
            boolean isAboutNode = isServingNode && NODE_EVENTS.contains(line.event());
            if (isNear && (isAboutEndpoint || isAboutNode)) {
                nearbyLines.add(line);
            }
        }

        List<LogLine> contextLines() {
            List<LogLine> found = new ArrayList<>(nearbyLines);
            found.addAll(viewChanges.values());
            return found;
        }
    }
}
