package org.cardamomthread.configuration;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cardamomthread.configuration.declaration.DeclarationsLoader;
import org.cardamomthread.configuration.settings.NodeSettingsLoader;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that docs/SETTINGS.md lists every key of the schemas. */
public class SettingsReferenceTests {

    private static final Path REFERENCE = Path.of("..", "docs", "SETTINGS.md");

    private JsonNode schema;
    private List<String> rows;

    @DataProvider
    public Object[][] schemas() {
        return new Object[][] {
            {NodeSettingsLoader.SCHEMA_RESOURCE}, {DeclarationsLoader.SCHEMA_RESOURCE},
        };
    }

    @Test(dataProvider = "schemas")
    public void listsEveryKeyWithDefaultAndMeaning(String resource) throws IOException {
        try (InputStream stream = getClass().getResourceAsStream(resource)) {
            schema = new ObjectMapper().readTree(stream);
        }
        rows = new ArrayList<>();
        collect("", schema);
        assertFalse(rows.isEmpty());
        List<String> lines = Files.readAllLines(REFERENCE);
        for (String row : rows) {
            assertTrue(lines.contains(row), "docs/SETTINGS.md must hold the row " + row);
        }
    }

    private void collect(String path, JsonNode node) {
        JsonNode resolved = resolve(node);
        collectProperties(path, resolved);
        JsonNode items = resolved.path("items");
        if (!items.isMissingNode()) {
            collectProperties(path + "[]", resolve(items));
        }
    }

    private void collectProperties(String path, JsonNode owner) {
        for (Map.Entry<String, JsonNode> property : owner.path("properties").properties()) {
            String name = property.getKey();
            String child = path.isEmpty() ? name : path + "." + name;
            boolean required = false;
            for (JsonNode each : owner.path("required")) {
                required |= each.asText().equals(name);
            }
            rows.add(row(child, required, property.getValue()));
            collect(child, property.getValue());
        }
    }

    private String row(String key, boolean required, JsonNode node) {
        JsonNode value = resolve(node).path("default");
        String fallback = value.isMissingNode() ? "none" : "`" + value + "`";
        JsonNode own = node.path("description");
        JsonNode meaning = own.isTextual() ? own : resolve(node).path("description");
        assertTrue(meaning.isTextual(), key + " must have a description in its schema");
        return "| `"
                + key
                + "` | "
                + (required ? "required" : fallback)
                + " | "
                + meaning.asText()
                + " |";
    }

    private JsonNode resolve(JsonNode node) {
        JsonNode reference = node.path("$ref");
        return reference.isTextual() ? schema.at(reference.asText().substring(1)) : node;
    }
}
