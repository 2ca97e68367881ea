package org.cardamomthread.daemon.http;

/**
 * Defines the limits on clients that send without bound or hold what they have begun.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderLines maximum number of header lines of a request, and of trailer lines
 * @param maxEmptyLines maximum number of empty lines before a request
 * @param maxChunkFramingBytes maximum length of the sizes, extensions and trailers of the chunks of
 *     one body, in bytes; bounds the number of chunks, each of which has at least 5 of them
 * @param headTimeoutMs maximum time from the first byte of a request to the end of its head, in
 *     milliseconds
 * @param bodyStallTimeoutMs time without any byte of a body after which the request is refused, in
 *     milliseconds; detected at most twice as late
 * @param responseStallTimeoutMs time in which a client takes no byte of a pending response, after
 *     which its connection is closed, in milliseconds
 */
public record ClientLimits(
        int maxHeaderLines,
        int maxEmptyLines,
        int maxChunkFramingBytes,
        long headTimeoutMs,
        long bodyStallTimeoutMs,
        long responseStallTimeoutMs) {

    /** The defaults: legal clients send about 60 lines, and at most 8 MiB in larger chunks. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(200, 16, 256 * 1024, 10_000, 10_000, 30_000);

    /** Checks that each limit is positive. */
    public ClientLimits {
        requirePositive("maxHeaderLines", maxHeaderLines);
        requirePositive("maxEmptyLines", maxEmptyLines);
        requirePositive("maxChunkFramingBytes", maxChunkFramingBytes);
        requirePositive("headTimeoutMs", headTimeoutMs);
        requirePositive("bodyStallTimeoutMs", bodyStallTimeoutMs);
        requirePositive("responseStallTimeoutMs", responseStallTimeoutMs);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " " + value + " must be positive");
        }
    }
}
