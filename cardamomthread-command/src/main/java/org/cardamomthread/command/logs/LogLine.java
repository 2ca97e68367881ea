package org.cardamomthread.command.logs;

import java.nio.file.Path;
import java.time.Instant;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * A structured line of a node's log. Immutable.
 *
 * @param time when the line was written, by the clock of the host
 * @param file the log file, one per node
 * @param event the event name, or the message text of a line without an event
 * @param fields the other fields in logged order
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
     * Returns whether a field has a value.
     *
     * @param name the name of the field
     * @param value the expected value
     * @return true if the field is present and equal to the value
     */
    public boolean hasField(String name, String value) {
        return value.equals(fields.get(name));
    }
}
