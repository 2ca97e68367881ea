package org.cardamomthread.replication.storage;

import java.nio.file.Path;
import java.util.Locale;
import java.util.OptionalLong;

/**
 * Describes one file of the segmented log. Immutable.
 *
 * @param number the sequence number of the segment, which is part of the file name
 * @param highestIndex the highest index of the segment's entries, 0 without entries
 */
record Segment(long number, long highestIndex) {

    private static final String FILE_NAME_PREFIX = "segment-";
    private static final String FILE_NAME_SUFFIX = ".log";

    Segment withHighestIndexAtLeast(long index) {
        return new Segment(number, Math.max(highestIndex, index));
    }

    Path filePath(Path folder) {
        return folder.resolve(
                String.format(
                        Locale.ROOT, "%s%010d%s", FILE_NAME_PREFIX, number, FILE_NAME_SUFFIX));
    }

    static OptionalLong parseNumber(Path file) {
        String name = file.getFileName().toString();
        if (!name.startsWith(FILE_NAME_PREFIX) || !name.endsWith(FILE_NAME_SUFFIX)) {
            return OptionalLong.empty();
        }
        String digits =
                name.substring(
                        FILE_NAME_PREFIX.length(), name.length() - FILE_NAME_SUFFIX.length());
        try {
            return OptionalLong.of(Long.parseLong(digits));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
