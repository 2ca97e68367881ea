package org.cardamomthread.command.logs;

import java.nio.file.Path;
import java.time.Instant;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Holds one structured line of a node's log. Immutable.
 *
 * @param time when it was written, by the clock of its host
 * @param file the file in which it stands, one for each node
 * @param event the kind of event, or the text of a line without one
 * @param fields the other fields in their order
 */
public record LogLine(Instant time, Path file, String event, Map<String, String> fields) {

    /** Checks the arguments and copies the fields. */
    public LogLine {
        Objects.requireNonNull(time, "time must not be null");
        Objects.requireNonNull(file, "file must not be null");
        Objects.requireNonNull(event, "event must not be null");
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Tells whether a field has a value.
     *
     * @param name the field
     * @param value the value
     * @return true if the field is there and equal
     */
    public boolean has(String name, String value) {
        return value.equals(fields.get(name));
    }
}
