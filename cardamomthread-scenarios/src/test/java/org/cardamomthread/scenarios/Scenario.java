package org.cardamomthread.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Holds one scenario file: a title, the world it plays in, a seed and steps. Each step is one verb
 * with its arguments. Immutable.
 *
 * @param name the file's name
 * @param title the promise that it shows
 * @param world {@code credits}, {@code calls} or {@code jobs}
 * @param seed the seed of all random choices
 * @param steps the steps in order
 */
record Scenario(String name, String title, String world, long seed, List<Step> steps) {

    private static final YAMLMapper YAML = new YAMLMapper();

    /**
     * Holds one verb with its arguments.
     *
     * @param number position in the file, from 1
     * @param verb the verb
     * @param arguments a mapping
     */
    record Step(int number, String verb, JsonNode arguments) {

        String text(String field) {
            return required(field).asText();
        }

        long number(String field) {
            return required(field).asLong();
        }

        long numberOr(String field, long absent) {
            return arguments.has(field) ? arguments.get(field).asLong() : absent;
        }

        String textOr(String field, String absent) {
            return arguments.has(field) ? arguments.get(field).asText() : absent;
        }

        List<String> texts(String field) {
            List<String> values = new ArrayList<>();
            required(field).forEach(value -> values.add(value.asText()));
            return values;
        }

        boolean has(String field) {
            return arguments.has(field);
        }

        IllegalArgumentException unknown() {
            return new IllegalArgumentException(
                    "step " + number + ": verb \"" + verb + "\" is not one of this world's");
        }

        private JsonNode required(String field) {
            if (!arguments.has(field)) {
                throw new IllegalArgumentException(
                        "step " + number + ": " + verb + " must have \"" + field + "\"");
            }
            return arguments.get(field);
        }
    }

    static Scenario read(Path file) {
        try {
            JsonNode root = YAML.readTree(Files.readString(file));
            List<Step> steps = new ArrayList<>();
            for (JsonNode step : root.get("steps")) {
                Map.Entry<String, JsonNode> only = step.properties().iterator().next();
                steps.add(new Step(steps.size() + 1, only.getKey(), only.getValue()));
            }
            return new Scenario(
                    file.getFileName().toString(),
                    root.get("title").asText(),
                    root.get("world").asText(),
                    root.get("seed").asLong(),
                    steps);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public String toString() {
        return name + " (seed " + seed + ")";
    }
}
