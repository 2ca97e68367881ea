package org.cardamomthread.configuration.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.DocumentMapper;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.DocumentSchema;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.YamlReader;

/**
 * Loads the settings of a node from a YAML file.
 *
 * <p>The file is validated against the schema {@value #SCHEMA_RESOURCE} and then against
 * constraints that the schema cannot express. Relative paths are resolved against the directory of
 * the file. Immutable and thread-safe.
 */
public final class NodeSettingsLoader {

    /** The class path resource of the published schema. */
    public static final String SCHEMA_RESOURCE =
            "/org/cardamomthread/configuration/settings.schema.json";

    private static final DocumentSchema SCHEMA = DocumentSchema.load(SCHEMA_RESOURCE);
    private final DocumentMapper mapper = mapper();

    /**
     * Loads and validates a settings file.
     *
     * @param file the settings file
     * @return the settings, with defaults filled in
     * @throws InvalidDocumentException if the file is invalid; the exception lists every error
     *     found
     */
    public NodeSettings load(Path file) throws InvalidDocumentException {
        Document document = YamlReader.read(file);
        Path directory = file.toAbsolutePath().normalize().getParent();
        return load(document, directory);
    }

    /**
     * Validates a document and converts it to settings.
     *
     * @param document the document
     * @param directory the directory against which relative paths are resolved
     * @return the settings, with defaults filled in
     * @throws InvalidDocumentException if the document is invalid; the exception lists every error
     *     found
     */
    public NodeSettings load(Document document, Path directory) throws InvalidDocumentException {
        List<DocumentProblem> problems = new ArrayList<>(SCHEMA.validate(document));
        problems.addAll(new AddressValidator(document).validate());
        throwIfAny(problems);
        ObjectNode tree = (ObjectNode) SCHEMA.withDefaults(document.root());
        new SecretResolver(document, directory, problems).resolveSecrets(tree);
        throwIfAny(problems);
        resolveDataFolder(tree, directory);
        NodeSettings settings = mapper.read(tree, NodeSettings.class);
        problems.addAll(new NodeSettingsValidator(document, settings).validate());
        throwIfAny(problems);
        return settings;
    }

    private static DocumentMapper mapper() {
        SimpleModule module = new SimpleModule();
        DocumentMapper.addStringType(module, Secret.class, Secret::new);
        return new DocumentMapper(module);
    }

    private static void resolveDataFolder(ObjectNode tree, Path directory) {
        JsonNode value = tree.get("dataFolder");
        if (value != null) {
            tree.put("dataFolder", directory.resolve(value.asText()).normalize().toString());
        }
    }

    private static void throwIfAny(List<DocumentProblem> problems) throws InvalidDocumentException {
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems);
        }
    }
}
