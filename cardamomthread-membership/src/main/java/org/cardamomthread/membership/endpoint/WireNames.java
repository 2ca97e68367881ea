package org.cardamomthread.membership.endpoint;

import java.util.Arrays;
import java.util.function.Function;

/** Looks up enum constants by the names used in announcements. */
final class WireNames {

    private WireNames() {}

    /**
     * Returns the constant with the given wire name.
     *
     * @param field the announcement field, named in the error message
     * @throws IllegalArgumentException if no constant has that name
     */
    static <T> T parse(T[] values, Function<T, String> wireNameOf, String field, String wireName) {
        for (T value : values) {
            if (wireNameOf.apply(value).equals(wireName)) {
                return value;
            }
        }
        throw new IllegalArgumentException(
                field
                        + " \""
                        + wireName
                        + "\" must be one of "
                        + Arrays.stream(values).map(wireNameOf).toList());
    }
}
