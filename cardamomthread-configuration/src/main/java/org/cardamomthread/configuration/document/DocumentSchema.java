package org.cardamomthread.configuration.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.walk.ApplyDefaultsStrategy;
import com.networknt.schema.walk.WalkConfig;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/**
 * Checks documents against a JSON Schema and fills in its defaults.
 *
 * <p>The remedy in a problem is taken from the description of the key in the schema. Immutable and
 * safe for use by several threads.
 */
public final class DocumentSchema {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final WalkConfig APPLY_DEFAULTS =
            WalkConfig.builder()
                    .applyDefaultsStrategy(new ApplyDefaultsStrategy(true, false, true))
                    .build();

    private final JsonNode schemaNode;
    private final Schema schema;

    private DocumentSchema(JsonNode schemaNode) {
        this.schemaNode = schemaNode;
        this.schema =
                SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                        .getSchema(schemaNode);
    }

    /**
     * Loads a schema of this module.
     *
     * @param resource the absolute name of the resource
     * @return the schema
     */
    public static DocumentSchema load(String resource) {
        try (InputStream stream = DocumentSchema.class.getResourceAsStream(resource)) {
            if (stream == null) {
                throw new IllegalArgumentException("resource " + resource + " must exist");
            }
            return new DocumentSchema(MAPPER.readTree(stream));
        } catch (IOException e) {
            throw new UncheckedIOException("resource " + resource + " must be JSON", e);
        }
    }

    /**
     * Checks a document.
     *
     * @param document the document
     * @return the errors found, in the order of their locations
     */
    public List<Problem> validate(Document document) {
        List<Problem> problems = new ArrayList<>();
        for (Error error : schema.validate(document.root())) {
            problems.add(toProblem(document, error));
        }
        return problems.stream().distinct().sorted().toList();
    }

    /**
     * Fills in the defaults that the schema states for keys that are absent.
     *
     * @param valid a tree without errors, left unchanged
     * @return a copy with defaults
     */
    public JsonNode withDefaults(JsonNode valid) {
        JsonNode copy = valid.deepCopy();
        schema.walk(copy, false, context -> context.setWalkConfig(APPLY_DEFAULTS));
        return copy;
    }

    private Problem toProblem(Document document, Error error) {
        String pointer = normalizePointer(error.getInstanceLocation().toString());
        String schemaPointer = normalizePointer(error.getSchemaLocation().getFragment().toString());
        String ownerPointer = schemaPointer.substring(0, schemaPointer.lastIndexOf('/'));
        JsonNode owner = schemaNode.at(ownerPointer);
        return switch (error.getKeyword()) {
            case "additionalProperties" ->
                    document.problem(
                            pointer + "/" + JsonPointers.escape(error.getProperty()),
                            "the key is unknown here",
                            "remove it or use one of " + joinPropertyNames(owner));
            case "required" ->
                    document.problem(
                            pointer + "/" + JsonPointers.escape(error.getProperty()),
                            "the key is missing",
                            "add it: " + describeProperty(owner, error.getProperty()));
            default ->
                    document.problem(
                            pointer,
                            describeValue(document, pointer, error),
                            describeExpectedValue(owner));
        };
    }

    private String describeValue(Document document, String pointer, Error error) {
        JsonNode value = document.root().at(pointer);
        String shown = value.isValueNode() ? "the value " + value : "the value";
        return shown + " is wrong: " + error.getMessage();
    }

    private String describeExpectedValue(JsonNode owner) {
        String type = owner.path("type").asText("");
        String text = owner.path("description").asText("");
        String quoting = "string".equals(type) ? ", in quotes if YAML reads it otherwise" : "";
        String typeText = type.isEmpty() ? "" : " of type " + type + quoting;
        return "write a value" + typeText + (text.isEmpty() ? "" : ": " + text);
    }

    private String describeProperty(JsonNode owner, String property) {
        JsonNode child = resolveReference(owner.path("properties").path(property));
        return child.path("description").asText("the key is required");
    }

    private JsonNode resolveReference(JsonNode node) {
        JsonNode reference = node.path("$ref");
        boolean describesItself = node.has("description");
        if (reference.isMissingNode() || describesItself) {
            return node;
        }
        return schemaNode.at(reference.asText().substring(1));
    }

    private static String joinPropertyNames(JsonNode owner) {
        Iterable<String> names = () -> owner.path("properties").fieldNames();
        return StreamSupport.stream(names.spliterator(), false).collect(Collectors.joining(", "));
    }

    private static String normalizePointer(String text) {
        String withoutHash = text.startsWith("#") ? text.substring(1) : text;
        return "/".equals(withoutHash) ? "" : withoutHash;
    }
}
