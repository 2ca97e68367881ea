package org.cardamomthread.configuration.declaration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.DocumentSchema;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.JsonPointers;
import org.cardamomthread.configuration.document.SourceLocation;
import org.cardamomthread.configuration.document.YamlReader;

/**
 * Loads a set of declarations from a directory of YAML files or from a JSON tree.
 *
 * <p>Each document is validated against the schema {@value #SCHEMA_RESOURCE}; all documents
 * together are then validated against constraints that the schema cannot express. Immutable and
 * thread-safe.
 */
public final class DeclarationsLoader {

    /** The class path resource of the published schema. */
    public static final String SCHEMA_RESOURCE =
            "/org/cardamomthread/configuration/declarations.schema.json";

    private static final DocumentSchema SCHEMA = DocumentSchema.load(SCHEMA_RESOURCE);

    /**
     * Loads all files in a directory whose names end in .yaml or .yml; subdirectories are ignored.
     *
     * @param directory the directory
     * @return the declarations of all files together
     * @throws InvalidDocumentException if a document is invalid; the exception lists every error
     *     found
     */
    public Declarations load(Path directory) throws InvalidDocumentException {
        List<DocumentProblem> problems = new ArrayList<>();
        List<Document> documents = new ArrayList<>();
        for (Path file : listFiles(directory)) {
            try {
                documents.add(YamlReader.read(file));
            } catch (InvalidDocumentException e) {
                problems.addAll(e.problems());
            }
        }
        return load(documents, problems);
    }

    /**
     * Loads a tree that has the structure of a declarations file.
     *
     * @param source the name that errors give to the tree
     * @param tree the tree
     * @return the declarations
     * @throws InvalidDocumentException if a document is invalid; the exception lists every error
     *     found
     */
    public Declarations load(String source, JsonNode tree) throws InvalidDocumentException {
        return load(List.of(Document.ofTree(source, tree)));
    }

    /**
     * Loads documents as one set of declarations.
     *
     * @param documents the documents
     * @return the declarations of all documents together
     * @throws InvalidDocumentException if a document is invalid; the exception lists every error
     *     found
     */
    public Declarations load(List<Document> documents) throws InvalidDocumentException {
        return load(documents, new ArrayList<>());
    }

    private Declarations load(List<Document> documents, List<DocumentProblem> problems)
            throws InvalidDocumentException {
        for (Document document : documents) {
            problems.addAll(SCHEMA.validate(document));
        }
        throwIfAny(problems);
        DeclarationCollector collector = new DeclarationCollector();
        for (Document document : documents) {
            collect(document, collector);
        }
        throwIfAny(collector.problems());
        Declarations declarations = Declarations.fromCanonicalJson(collector.canonicalJsonByKey());
        throwIfAny(new DeclarationsValidator(declarations, collector).validate());
        return declarations;
    }

    private void collect(Document document, DeclarationCollector collector) {
        ObjectNode tree = (ObjectNode) SCHEMA.withDefaults(document.root());
        for (DeclarationKind kind : DeclarationKind.values()) {
            JsonNode section = tree.path(kind.sectionKey());
            for (int i = 0; i < section.size(); i++) {
                String pointer = JsonPointers.of(kind.sectionKey(), i);
                collector.add(kind, (ObjectNode) section.get(i), document, pointer);
            }
        }
    }

    private static List<Path> listFiles(Path directory) throws InvalidDocumentException {
        try (Stream<Path> files = Files.list(directory)) {
            List<Path> yamlFiles = files.filter(DeclarationsLoader::isYaml).sorted().toList();
            if (!yamlFiles.isEmpty()) {
                return yamlFiles;
            }
            throw directoryError(
                    directory, "the directory contains no .yaml file", "add one to it");
        } catch (IOException e) {
            throw directoryError(
                    directory,
                    "the directory is missing or unreadable",
                    "name a directory that contains .yaml files and that this user can read");
        }
    }

    private static boolean isYaml(Path file) {
        String name = file.getFileName().toString();
        return name.endsWith(".yaml") || name.endsWith(".yml");
    }

    private static InvalidDocumentException directoryError(
            Path directory, String detail, String remedy) {
        SourceLocation location = SourceLocation.ofDocument(directory.toString());
        return new InvalidDocumentException(
                List.of(new DocumentProblem(location, "", detail, remedy)));
    }

    private static void throwIfAny(List<DocumentProblem> problems) throws InvalidDocumentException {
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems);
        }
    }
}
