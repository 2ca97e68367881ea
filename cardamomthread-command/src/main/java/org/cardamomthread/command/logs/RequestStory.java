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
 * Finds the lines of a request in the logs of several nodes, with what these and others say of its
 * endpoints and of the nodes that served it around that time, in the order of time.
 *
 * <p>Immutable.
 *
 * @param lines the lines in order
 * @param unreadable lines of the logs that could not be read
 */
public record RequestStory(List<LogLine> lines, long unreadable) {

    /** Hosts' clocks differ, and an endpoint's end may be told seconds late. */
    private static final Duration MARGIN = Duration.ofSeconds(5);

    private static final Pattern WORD = Pattern.compile("[^\\[\\], ]+");

    /** Copies the lines. */
    public RequestStory {
        lines = List.copyOf(lines);
    }

    /**
     * Reads logs and collects what belongs to a request.
     *
     * @param requestId the request
     * @param files the logs, one for each node
     * @return the story, without lines if no log names the request
     * @throws IOException if a file cannot be read
     */
    public static RequestStory collect(String requestId, List<Path> files) throws IOException {
        Objects.requireNonNull(requestId, "requestId must not be null");
        LogReader reader = new LogReader();
        List<LogLine> own = new ArrayList<>();
        for (Path file : files) {
            reader.read(
                    file,
                    line -> {
                        if (line.has("request", requestId)) {
                            own.add(line);
                        }
                    });
        }
        long unreadable = reader.unreadable();
        if (own.isEmpty()) {
            return new RequestStory(own, unreadable);
        }
        List<LogLine> lines = new ArrayList<>(own);
        Surroundings surroundings = new Surroundings(own);
        for (Path file : files) {
            reader.read(file, surroundings::take);
        }
        lines.addAll(surroundings.found());
        lines.sort(Comparator.comparing(LogLine::time));
        return new RequestStory(lines, unreadable);
    }

    /** Collects lines without the request that explain what was decided on it. */
    private static final class Surroundings {

        private static final Set<String> ABOUT_ENDPOINTS =
                Set.of("endpoint-opened", "endpoint-closed", "endpoint-changed", "endpoint-gone");
        private static final Set<String> ABOUT_NODES =
                Set.of("node-started", "node-stopping", "node-stopped", "settings-reloaded");

        private final Set<String> endpoints = new HashSet<>();
        private final Set<Path> nodes = new HashSet<>();
        private final Map<Path, LogLine> views = new HashMap<>();
        private final List<LogLine> near = new ArrayList<>();
        private final Instant first;
        private final Instant last;

        Surroundings(List<LogLine> own) {
            Instant begin = Instant.MAX;
            Instant end = Instant.MIN;
            for (LogLine line : own) {
                nodes.add(line.file());
                begin = line.time().isBefore(begin) ? line.time() : begin;
                end = line.time().isAfter(end) ? line.time() : end;
                addWords(line.fields().get("endpoint"));
                addWords(line.fields().get("endpoints"));
            }
            first = begin;
            last = end;
        }

        private void addWords(String text) {
            Matcher matcher = WORD.matcher(text == null ? "" : text);
            while (matcher.find()) {
                endpoints.add(matcher.group());
            }
        }

        void take(LogLine line) {
            boolean isServingNode = nodes.contains(line.file());
            if (isServingNode
                    && line.event().equals("view-changed")
                    && !line.time().isAfter(first)) {
                views.put(line.file(), line);
            }
            boolean isNear =
                    !line.time().isBefore(first.minus(MARGIN))
                            && !line.time().isAfter(last.plus(MARGIN));
            boolean isAboutEndpoint =
                    ABOUT_ENDPOINTS.contains(line.event())
                            && endpoints.contains(line.fields().get("endpoint"));
            boolean isAboutNode = isServingNode && ABOUT_NODES.contains(line.event());
            if (isNear && (isAboutEndpoint || isAboutNode)) {
                near.add(line);
            }
        }

        List<LogLine> found() {
            List<LogLine> found = new ArrayList<>(near);
            found.addAll(views.values());
            return found;
        }
    }
}
