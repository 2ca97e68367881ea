package org.cardamomthread.command.logs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads a node's log, one JSON object a line, without keeping it in memory.
 *
 * <p>Lines that are no JSON objects with a time, such as a report of the runtime or a line cut
 * short by the end of a process, are counted and passed over. Used by one thread at a time.
 */
public final class LogReader {

    private final ObjectMapper mapper = new ObjectMapper();
    private long unreadable;

    /**
     * Reads a file.
     *
     * @param file the file
     * @param sink receives each line in order
     * @throws IOException if the file cannot be read
     */
    public void read(Path file, Consumer<LogLine> sink) throws IOException {
        try (InputStream input = Files.newInputStream(file);
                BufferedReader lines =
                        new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8))) {
            for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                Optional<LogLine> line = parse(file, text);
                line.ifPresent(sink);
                unreadable += line.isPresent() || text.isBlank() ? 0 : 1;
            }
        }
    }

    /**
     * Returns how many lines could not be read so far.
     *
     * @return lines
     */
    public long unreadable() {
        return unreadable;
    }

    private Optional<LogLine> parse(Path file, String text) {
        JsonNode tree;
        try {
            tree = mapper.readTree(text);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
        if (tree == null || !tree.path("timestamp").isIntegralNumber()) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (JsonNode pair : tree.path("kvpList")) {
            pair.fields()
                    .forEachRemaining(
                            field -> fields.put(field.getKey(), field.getValue().asText()));
        }
        String event = fields.remove("event");
        Instant time = Instant.ofEpochMilli(tree.path("timestamp").asLong());
        String message = tree.path("formattedMessage").asText();
        return Optional.of(new LogLine(time, file, event == null ? message : event, fields));
    }
}
