package org.cardamomthread.configuration.declaration;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Matches paths segment by segment: {@code *} matches exactly one segment, {@code **} as the last
 * segment matches zero or more.
 *
 * <p>Immutable and thread-safe.
 *
 * @param text the pattern, which starts with a slash
 */
public record PathPattern(String text) implements Comparable<PathPattern> {

    private static final String SINGLE_SEGMENT = "*";
    private static final String REMAINING_SEGMENTS = "**";
    private static final Pattern ENCODED_SLASH_PATTERN =
            Pattern.compile("%2f", Pattern.CASE_INSENSITIVE);

    /** Validates the pattern. */
    public PathPattern {
        if (text == null || !text.startsWith("/")) {
            throw new IllegalArgumentException("pattern \"" + text + "\" must begin with a slash");
        }
        int remainderStart = text.indexOf(REMAINING_SEGMENTS);
        if (remainderStart >= 0 && !text.endsWith("/" + REMAINING_SEGMENTS)) {
            throw new IllegalArgumentException(
                    "pattern \"" + text + "\" must hold ** as its last segment only");
        }
        if (!isUnambiguous(text) || text.indexOf('%') >= 0) {
            throw new IllegalArgumentException(
                    "pattern \"" + text + "\" must have no empty, dot or percent-encoded segments");
        }
    }

    /**
     * Decodes a path, if every server interprets it in the same way.
     *
     * @param path the path as received, starting with a slash, without the query
     * @return the percent-decoded path without a trailing slash, or empty if the path is malformed
     *     or contains dot segments, empty inner segments, backslashes, path parameters, a fragment,
     *     encoded slashes or encoded percent signs
     */
    public static Optional<String> decode(String path) {
        boolean hasFragment = path.indexOf('#') >= 0;
        if (hasFragment || !isUnambiguous(path) || ENCODED_SLASH_PATTERN.matcher(path).find()) {
            return Optional.empty();
        }
        try {
            String decoded = new URI(path).getPath();
            if (decoded.indexOf('%') >= 0 || !isUnambiguous(decoded)) {
                return Optional.empty();
            }
            boolean hasTrailingSlash = decoded.length() > 1 && decoded.endsWith("/");
            return Optional.of(
                    hasTrailingSlash ? decoded.substring(0, decoded.length() - 1) : decoded);
        } catch (URISyntaxException e) {
            return Optional.empty();
        }
    }

    private static boolean isUnambiguous(String path) {
        if (!path.startsWith("/") || path.contains("//")) {
            return false;
        }
        if (path.indexOf('\\') >= 0 || path.indexOf(';') >= 0) {
            return false;
        }
        return segments(path).stream()
                .noneMatch(segment -> segment.equals(".") || segment.equals(".."));
    }

    /**
     * Returns whether this pattern matches a path.
     *
     * @param path the path, starting with a slash, as {@link #decode} returns it
     * @return true if the pattern matches the whole path
     */
    public boolean matches(String path) {
        List<String> patternSegments = segments(text);
        List<String> pathSegments = segments(path);
        boolean matchesRemainder =
                patternSegments.get(patternSegments.size() - 1).equals(REMAINING_SEGMENTS);
        int fixedSegments = matchesRemainder ? patternSegments.size() - 1 : patternSegments.size();
        if (matchesRemainder
                ? pathSegments.size() < fixedSegments
                : pathSegments.size() != fixedSegments) {
            return false;
        }
        for (int i = 0; i < fixedSegments; i++) {
            String segment = patternSegments.get(i);
            boolean matchesWildcard =
                    segment.equals(SINGLE_SEGMENT) && !pathSegments.get(i).isEmpty();
            if (!matchesWildcard && !segment.equals(pathSegments.get(i))) {
                return false;
            }
        }
        return true;
    }

    @Override
    public int compareTo(PathPattern other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }

    private static List<String> segments(String path) {
        return List.of(path.substring(1).split("/", -1));
    }
}
