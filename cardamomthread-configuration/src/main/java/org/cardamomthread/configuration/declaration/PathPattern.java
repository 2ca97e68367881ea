package org.cardamomthread.configuration.declaration;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Matches paths segment by segment: {@code *} stands for one segment, {@code **} at the end for any
 * number of them, also none.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param text the pattern, beginning with a slash
 */
public record PathPattern(String text) implements Comparable<PathPattern> {

    private static final String SINGLE_SEGMENT = "*";
    private static final String REMAINING_SEGMENTS = "**";
    private static final Pattern ENCODED_SLASH_PATTERN =
            Pattern.compile("%2f", Pattern.CASE_INSENSITIVE);

    /** Checks the pattern. */
    public PathPattern {
        if (text == null || !text.startsWith("/")) {
            throw new IllegalArgumentException("pattern \"" + text + "\" must begin with a slash");
        }
        int rest = text.indexOf(REMAINING_SEGMENTS);
        if (rest >= 0 && !text.endsWith("/" + REMAINING_SEGMENTS)) {
            throw new IllegalArgumentException(
                    "pattern \"" + text + "\" must hold ** as its last segment only");
        }
        if (!isUnambiguous(text) || text.indexOf('%') >= 0) {
            throw new IllegalArgumentException(
                    "pattern \"" + text + "\" must have no empty, dot or percent-encoded segments");
        }
    }

    /**
     * Decodes a path that every server reads alike.
     *
     * @param path the path as received, beginning with a slash, without the query
     * @return the path with its percent encoding decoded and without a slash at the end; empty if
     *     the path is malformed or has dot segments, empty segments inside, backslashes, path
     *     parameters or encoded slashes or percent signs
     */
    public static Optional<String> decode(String path) {
        if (!isUnambiguous(path) || ENCODED_SLASH_PATTERN.matcher(path).find()) {
            return Optional.empty();
        }
        try {
            String decoded = new URI(path).getPath();
            if (decoded.indexOf('%') >= 0 || !isUnambiguous(decoded)) {
                return Optional.empty();
            }
            boolean endsInSlash = decoded.length() > 1 && decoded.endsWith("/");
            return Optional.of(endsInSlash ? decoded.substring(0, decoded.length() - 1) : decoded);
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
        return segments(path).stream().noneMatch(each -> each.equals(".") || each.equals(".."));
    }

    /**
     * Matches a path.
     *
     * @param path the path, beginning with a slash, as {@link #decode} returns it
     * @return true if the pattern covers all of it
     */
    public boolean matches(String path) {
        List<String> wanted = segments(text);
        List<String> given = segments(path);
        boolean open = wanted.get(wanted.size() - 1).equals(REMAINING_SEGMENTS);
        int fixed = open ? wanted.size() - 1 : wanted.size();
        if (open ? given.size() < fixed : given.size() != fixed) {
            return false;
        }
        for (int i = 0; i < fixed; i++) {
            String segment = wanted.get(i);
            boolean any = segment.equals(SINGLE_SEGMENT) && !given.get(i).isEmpty();
            if (!any && !segment.equals(given.get(i))) {
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
