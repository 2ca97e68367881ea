package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Holds the delay that a response asks for in {@code Retry-After}. Immutable.
 *
 * <p>Delays are read in seconds, which may have a fraction. Of several values the longest counts; a
 * delay above {@value #MAX_DELAY_MS} ms is reduced to it.
 *
 * @param delayMs the delay in milliseconds, or empty if no value states one
 * @param ignoredValues the values that state no delay in seconds, such as negative numbers and
 *     dates
 */
public record RetryAfter(OptionalLong delayMs, List<String> ignoredValues) {

    /** The longest delay that is heeded, in milliseconds. */
    public static final long MAX_DELAY_MS = 3_600_000;

    private static final double MS_PER_S = 1_000.0;
    private static final Pattern SECONDS = Pattern.compile("\\d+(\\.\\d*)?([eE][+-]?\\d+)?");
    private static final int MAX_VALUE_LENGTH = 64;

    /** Creates a delay with a copy of the list. */
    public RetryAfter {
        ignoredValues = List.copyOf(ignoredValues);
    }

    /**
     * Reads the delay from the headers of a response.
     *
     * @param headers the response headers
     * @return the delay, without a value if the header is missing
     */
    public static RetryAfter of(HttpHeaders headers) {
        OptionalLong delayMs = OptionalLong.empty();
        List<String> ignored = new ArrayList<>();
        for (String value : headers.getAll(HttpHeaderNames.RETRY_AFTER)) {
            String text = value.trim();
            if (text.length() > MAX_VALUE_LENGTH || !SECONDS.matcher(text).matches()) {
                ignored.add(text.substring(0, Math.min(MAX_VALUE_LENGTH, text.length())));
                continue;
            }
            long parsedMs =
                    (long) Math.min(MAX_DELAY_MS, Math.ceil(Double.parseDouble(text) * MS_PER_S));
            delayMs = OptionalLong.of(Math.max(parsedMs, delayMs.orElse(0)));
        }
        return new RetryAfter(delayMs, ignored);
    }
}
