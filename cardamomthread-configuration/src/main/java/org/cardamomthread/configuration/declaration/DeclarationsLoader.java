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
import org.cardamomthread.configuration.document.DocumentSchema;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.JsonPointers;
import org.cardamomthread.configuration.document.Problem;
import org.cardamomthread.configuration.document.SourceLocation;
import org.cardamomthread.configuration.document.YamlReader;

/**
 * Loads a set of declarations from a folder of YAML files or from a tree.
 *
 * <p>The documents are checked against the schema {@value #SCHEMA_RESOURCE} and then, together, for
 * meaning. Immutable and safe for use by several threads.
 */
public final class DeclarationsLoader {

    /** The resource that holds the published schema. */
    public static final String SCHEMA_RESOURCE =
            "/org/cardamomthread/configuration/declarations.schema.json";

    private static final DocumentSchema SCHEMA = DocumentSchema.load(SCHEMA_RESOURCE);

    /**
     * Loads all files of a folder whose names end in .yaml or .yml, without its subfolders.
     *
     * @param folder the folder
     * @return the declarations of all files together
     * @throws InvalidDocumentException if anything is wrong; holds every error found
     */
    public Declarations load(Path folder) throws InvalidDocumentException {
        List<Problem> problems = new ArrayList<>();
        List<Document> documents = new ArrayList<>();
        for (Path file : listFiles(folder)) {
            try {
                documents.add(YamlReader.read(file));
            } catch (InvalidDocumentException e) {
                problems.addAll(e.problems());
            }
        }
        return load(documents, problems);
    }

    /**
     * Loads a tree of the form that files have.
     *
     * @param source the name of the tree in errors
     * @param tree the tree
     * @return the declarations
     * @throws InvalidDocumentException if anything is wrong; holds every error found
     */
    public Declarations load(String source, JsonNode tree) throws InvalidDocumentException {
        return load(List.of(Document.ofTree(source, tree)));
    }

    /**
     * Loads documents as one set.
     *
     * @param documents the documents
     * @return the declarations of all documents together
     * @throws InvalidDocumentException if anything is wrong; holds every error found
     */
    public Declarations load(List<Document> documents) throws InvalidDocumentException {
        return load(documents, new ArrayList<>());
    }

    private Declarations load(List<Document> documents, List<Problem> problems)
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

    private static List<Path> listFiles(Path folder) throws InvalidDocumentException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> found = files.filter(DeclarationsLoader::isYaml).sorted().toList();
            if (!found.isEmpty()) {
                return found;
            }
            throw folderError(folder, "the folder holds no .yaml file", "add one to it");
        } catch (IOException e) {
            throw folderError(
                    folder,
                    "the folder is missing or unreadable",
                    "name a folder that holds .yaml files and that this user may read");
        }
    }

    private static boolean isYaml(Path file) {
        String name = file.getFileName().toString();
        return name.endsWith(".yaml") || name.endsWith(".yml");
    }

    private static InvalidDocumentException folderError(Path folder, String detail, String remedy) {
        SourceLocation location = SourceLocation.ofDocument(folder.toString());
        return new InvalidDocumentException(List.of(new Problem(location, "", detail, remedy)));
    }

    private static void throwIfAny(List<Problem> problems) throws InvalidDocumentException {
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems);
        }
    }
}
