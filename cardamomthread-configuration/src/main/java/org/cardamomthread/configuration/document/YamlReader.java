package org.cardamomthread.configuration.document;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Reads one YAML document and records the source location of each key.
 *
 * <p>Duplicate keys, aliases and a second document in the same file are errors. An instance reads
 * one text and is not thread-safe; the static methods are.
 */
public final class YamlReader {

    /** Far deeper than any document of the project, and far below the depth that a stack holds. */
    private static final int MAX_NESTING_DEPTH = 50;

    private static final YAMLFactory FACTORY =
            YAMLFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                    .build())
                    .build();
    private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

    private final String source;
    private final YAMLParser parser;
    private final Map<String, SourceLocation> locations = new HashMap<>();

    private YamlReader(String source, YAMLParser parser) {
        this.source = source;
        this.parser = parser;
    }

    /**
     * Reads a YAML file.
     *
     * @param file the file, encoded in UTF-8
     * @return the parsed document
     * @throws InvalidDocumentException if the file is missing, unreadable or not a single YAML
     *     document
     */
    public static Document read(Path file) throws InvalidDocumentException {
        String name = file.toString();
        try {
            return parse(name, Files.readString(file));
        } catch (NoSuchFileException e) {
            throw invalid(SourceLocation.ofDocument(name), "the file does not exist", "create it");
        } catch (IOException e) {
            throw invalid(
                    SourceLocation.ofDocument(name),
                    "the file cannot be read (" + e + ")",
                    "make it a UTF-8 file that this user can read");
        }
    }

    /**
     * Parses YAML text.
     *
     * @param source the name that errors give to the text
     * @param text the YAML text
     * @return the parsed document
     * @throws InvalidDocumentException if the text is not a single YAML document
     */
    public static Document parse(String source, String text) throws InvalidDocumentException {
        try (YAMLParser parser = FACTORY.createParser(text)) {
            return new YamlReader(source, parser).readDocument();
        } catch (JsonProcessingException e) {
            throw invalid(
                    toSourceLocation(source, e.getLocation()),
                    summarizeParserMessage(e.getOriginalMessage()),
                    "correct the YAML at this position");
        } catch (IOException e) {
            throw invalid(SourceLocation.ofDocument(source), e.toString(), "rewrite the file");
        }
    }

    private Document readDocument() throws IOException, InvalidDocumentException {
        if (parser.nextToken() == null) {
            throw invalid(
                    SourceLocation.ofDocument(source),
                    "the document is empty",
                    "add at least one key");
        }
        locations.put("", currentLocation());
        JsonNode root = readValue("");
        if (parser.nextToken() != null) {
            throw invalid(
                    currentLocation(),
                    "a second YAML document starts here",
                    "move it to a separate file");
        }
        return new Document(source, root, locations);
    }

    private JsonNode readValue(String pointer) throws IOException, InvalidDocumentException {
        if (parser.isCurrentAlias()) {
            throw invalid(
                    currentLocation(), "YAML aliases are not supported", "write the value in full");
        }
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return readObject(pointer);
        }
        if (token == JsonToken.START_ARRAY) {
            return readArray(pointer);
        }
        return readScalar(token);
    }

    private ObjectNode readObject(String pointer) throws IOException, InvalidDocumentException {
        ObjectNode object = NODE_FACTORY.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String child = pointer + "/" + JsonPointers.escape(name);
            locations.put(child, currentLocation());
            parser.nextToken();
            object.set(name, readValue(child));
        }
        return object;
    }

    private ArrayNode readArray(String pointer) throws IOException, InvalidDocumentException {
        ArrayNode array = NODE_FACTORY.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String child = pointer + "/" + array.size();
            locations.put(child, currentLocation());
            array.add(readValue(child));
        }
        return array;
    }

    private JsonNode readScalar(JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_TRUE -> NODE_FACTORY.booleanNode(true);
            case VALUE_FALSE -> NODE_FACTORY.booleanNode(false);
            case VALUE_NUMBER_INT -> NODE_FACTORY.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> NODE_FACTORY.numberNode(parser.getDoubleValue());
            case VALUE_NULL -> NODE_FACTORY.nullNode();
            default -> NODE_FACTORY.textNode(parser.getText());
        };
    }

    private SourceLocation currentLocation() {
        return toSourceLocation(source, parser.currentTokenLocation());
    }

    private static SourceLocation toSourceLocation(String source, JsonLocation location) {
        if (location == null || location.getLineNr() < 1) {
            return SourceLocation.ofDocument(source);
        }
        int column = Math.max(1, location.getColumnNr());
        return new SourceLocation(source, location.getLineNr(), column);
    }

    private static String summarizeParserMessage(String message) {
        // The other lines of the parser's message repeat the location and quote the source text.
        return message.lines()
                .filter(line -> !line.isBlank() && !Character.isWhitespace(line.charAt(0)))
                .filter(line -> !line.startsWith("at ["))
                .collect(Collectors.joining(", "));
    }

    private static InvalidDocumentException invalid(
            SourceLocation location, String detail, String remedy) {
        return new InvalidDocumentException(
                List.of(new DocumentProblem(location, "", detail, remedy)));
    }
}
