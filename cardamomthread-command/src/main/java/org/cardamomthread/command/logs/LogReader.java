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
 * Reads a node's log, one JSON object per line, without loading it into memory.
 *
 * <p>Lines that are not JSON objects with a timestamp, such as a crash report of the JVM or a line
 * truncated when the process ended, are counted and skipped. Used by one thread at a time.
 */
public final class LogReader {

    private final ObjectMapper mapper = new ObjectMapper();
    private long unreadableLineCount;

    /**
     * Reads all lines of a log file.
     *
     * @param file the log file
     * @param sink receives each readable line in file order
     * @throws IOException if the file cannot be read
     */
    public void read(Path file, Consumer<LogLine> sink) throws IOException {
        try (InputStream input = Files.newInputStream(file);
                BufferedReader lines =
                        new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8))) {
            for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                Optional<LogLine> line = parse(file, text);
                line.ifPresent(sink);
                unreadableLineCount += line.isPresent() || text.isBlank() ? 0 : 1;
            }
        }
    }

    /**
     * Returns the number of lines skipped so far because they could not be parsed.
     *
     * @return the number of lines over all files read
     */
    public long unreadableLineCount() {
        return unreadableLineCount;
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
