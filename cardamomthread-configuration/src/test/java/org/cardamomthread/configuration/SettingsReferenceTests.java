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

/**
 * Tests that docs/SETTINGS.md documents every key of the schemas with its default and description.
 */
public class SettingsReferenceTests {

    private static final Path SETTINGS_REFERENCE = Path.of("..", "docs", "SETTINGS.md");

    private JsonNode schema;
    private List<String> expectedRows;

    @DataProvider
    public Object[][] schemas() {
        return new Object[][] {
            {NodeSettingsLoader.SCHEMA_RESOURCE}, {DeclarationsLoader.SCHEMA_RESOURCE},
        };
    }

    @Test(dataProvider = "schemas")
    public void listsEveryKeyWithDefaultAndDescription(String resource) throws IOException {
        try (InputStream stream = getClass().getResourceAsStream(resource)) {
            schema = new ObjectMapper().readTree(stream);
        }
        expectedRows = new ArrayList<>();
        collect("", schema);
        assertFalse(expectedRows.isEmpty());
        List<String> lines = Files.readAllLines(SETTINGS_REFERENCE);
        for (String row : expectedRows) {
            assertTrue(lines.contains(row), "docs/SETTINGS.md must contain the row " + row);
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

    private void collectProperties(String path, JsonNode parentSchema) {
        for (Map.Entry<String, JsonNode> property : parentSchema.path("properties").properties()) {
            String name = property.getKey();
            String child = path.isEmpty() ? name : path + "." + name;
            boolean required = false;
            for (JsonNode requiredName : parentSchema.path("required")) {
                required |= requiredName.asText().equals(name);
            }
            expectedRows.add(row(child, required, property.getValue()));
            collect(child, property.getValue());
        }
    }

    private String row(String key, boolean required, JsonNode node) {
        JsonNode value = resolve(node).path("default");
        String defaultText = value.isMissingNode() ? "none" : "`" + value + "`";
        JsonNode ownDescription = node.path("description");
        JsonNode description =
                ownDescription.isTextual() ? ownDescription : resolve(node).path("description");
        assertTrue(description.isTextual(), key + " must have a description in its schema");
        return "| `"
                + key
                + "` | "
                + (required ? "required" : defaultText)
                + " | "
                + description.asText()
                + " |";
    }

    private JsonNode resolve(JsonNode node) {
        JsonNode reference = node.path("$ref");
        return reference.isTextual() ? schema.at(reference.asText().substring(1)) : node;
    }
}
