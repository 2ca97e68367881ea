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
 * A scenario file: a title, the world that executes it, a seed and steps. Each step is one verb
 * with its arguments. Immutable.
 *
 * @param name the name of the file
 * @param title the guarantee that the scenario verifies
 * @param world {@code credits}, {@code calls} or {@code jobs}
 * @param seed the seed of the random number generator
 * @param steps the steps in file order
 */
record Scenario(String name, String title, String world, long seed, List<Step> steps) {

    private static final YAMLMapper YAML = new YAMLMapper();

    /**
     * A verb with its arguments.
     *
     * @param number position in the file, starting at 1
     * @param verb the action or expectation, as defined by the world
     * @param arguments the argument values by name
     */
    record Step(int number, String verb, JsonNode arguments) {

        String text(String field) {
            return required(field).asText();
        }

        long number(String field) {
            return required(field).asLong();
        }

        long numberOr(String field, long defaultValue) {
            return arguments.has(field) ? arguments.get(field).asLong() : defaultValue;
        }

        String textOr(String field, String defaultValue) {
            return arguments.has(field) ? arguments.get(field).asText() : defaultValue;
        }

        List<String> texts(String field) {
            List<String> values = new ArrayList<>();
            required(field).forEach(value -> values.add(value.asText()));
            return values;
        }

        boolean has(String field) {
            return arguments.has(field);
        }

        IllegalArgumentException unknownVerb() {
            return new IllegalArgumentException(
                    "step " + number + ": verb \"" + verb + "\" is not supported by this world");
        }

        private JsonNode required(String field) {
            if (!arguments.has(field)) {
                throw new IllegalArgumentException(
                        "step "
                                + number
                                + ": "
                                + verb
                                + " requires the argument \""
                                + field
                                + "\"");
            }
            return arguments.get(field);
        }
    }

    static Scenario read(Path file) {
        try {
            JsonNode root = YAML.readTree(Files.readString(file));
            List<Step> steps = new ArrayList<>();
            for (JsonNode step : root.get("steps")) {
                Map.Entry<String, JsonNode> entry = step.properties().iterator().next();
                steps.add(new Step(steps.size() + 1, entry.getKey(), entry.getValue()));
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
