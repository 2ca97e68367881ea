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
 * Validates documents against a JSON Schema and fills in the defaults that it declares.
 *
 * <p>The remedy of a problem includes the description of the key in the schema. Immutable and
 * thread-safe.
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
     * Loads a schema from the class path.
     *
     * @param resource the absolute name of the resource
     * @return the schema
     * @throws IllegalArgumentException if the resource does not exist
     */
    public static DocumentSchema load(String resource) {
        try (InputStream stream = DocumentSchema.class.getResourceAsStream(resource)) {
            if (stream == null) {
                throw new IllegalArgumentException(
                        "schema resource " + resource + " must exist on the class path");
            }
            return new DocumentSchema(MAPPER.readTree(stream));
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "schema resource " + resource + " must be readable as JSON", e);
        }
    }

    /**
     * Validates a document.
     *
     * @param document the document
     * @return every error found, in the order of their locations; empty if the document is valid
     */
    public List<DocumentProblem> validate(Document document) {
        List<DocumentProblem> problems = new ArrayList<>();
        for (Error error : schema.validate(document.root())) {
            problems.add(toProblem(document, error));
        }
        return problems.stream().distinct().sorted().toList();
    }

    /**
     * Returns a copy of a tree with the default of each absent key that has one.
     *
     * @param validTree a tree without errors; it is not modified
     * @return the copy with defaults
     */
    public JsonNode withDefaults(JsonNode validTree) {
        JsonNode copy = validTree.deepCopy();
        schema.walk(copy, false, context -> context.setWalkConfig(APPLY_DEFAULTS));
        return copy;
    }

    private DocumentProblem toProblem(Document document, Error error) {
        String pointer = normalizePointer(error.getInstanceLocation().toString());
        String schemaPointer = normalizePointer(error.getSchemaLocation().getFragment().toString());
        String parentSchemaPointer = schemaPointer.substring(0, schemaPointer.lastIndexOf('/'));
        JsonNode parentSchema = schemaNode.at(parentSchemaPointer);
        return switch (error.getKeyword()) {
            case "additionalProperties" ->
                    document.problem(
                            pointer + "/" + JsonPointers.escape(error.getProperty()),
                            "the key is not allowed here",
                            "remove it or use one of " + joinPropertyNames(parentSchema));
            case "required" ->
                    document.problem(
                            pointer + "/" + JsonPointers.escape(error.getProperty()),
                            "the key is missing",
                            "add it: " + describeProperty(parentSchema, error.getProperty()));
            default ->
                    document.problem(
                            pointer,
                            describeValue(document, pointer, error),
                            describeExpectedValue(parentSchema));
        };
    }

    private String describeValue(Document document, String pointer, Error error) {
        JsonNode value = document.root().at(pointer);
        String subject = value.isValueNode() ? "the value " + value : "the value";
        return subject + " is invalid: " + error.getMessage();
    }

    private String describeExpectedValue(JsonNode parentSchema) {
        String type = parentSchema.path("type").asText("");
        String description = parentSchema.path("description").asText("");
        String quotingHint =
                "string".equals(type) ? ", in quotes if YAML reads it as another type" : "";
        String typeText = type.isEmpty() ? "" : " of type " + type + quotingHint;
        return "write a value" + typeText + (description.isEmpty() ? "" : ": " + description);
    }

    private String describeProperty(JsonNode parentSchema, String property) {
        JsonNode child = resolveReference(parentSchema.path("properties").path(property));
        return child.path("description").asText("the key is required");
    }

    private JsonNode resolveReference(JsonNode node) {
        JsonNode reference = node.path("$ref");
        boolean hasOwnDescription = node.has("description");
        if (reference.isMissingNode() || hasOwnDescription) {
            return node;
        }
        return schemaNode.at(reference.asText().substring(1));
    }

    private static String joinPropertyNames(JsonNode parentSchema) {
        Iterable<String> names = () -> parentSchema.path("properties").fieldNames();
        return StreamSupport.stream(names.spliterator(), false).collect(Collectors.joining(", "));
    }

    private static String normalizePointer(String pointer) {
        String withoutHash = pointer.startsWith("#") ? pointer.substring(1) : pointer;
        return "/".equals(withoutHash) ? "" : withoutHash;
    }
}
