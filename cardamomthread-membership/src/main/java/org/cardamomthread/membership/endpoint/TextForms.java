package org.cardamomthread.membership.endpoint;

import java.util.Arrays;
import java.util.function.Function;

/** Finds enum constants by the text used in announcements. Stateless. */
final class TextForms {

    private TextForms() {}

    static <T> T find(T[] values, Function<T, String> textOf, String field, String text) {
        for (T value : values) {
            if (textOf.apply(value).equals(text)) {
                return value;
            }
        }
        throw new IllegalArgumentException(
                field
                        + " \""
                        + text
                        + "\" must be one of "
                        + Arrays.stream(values).map(textOf).toList());
    }
}
