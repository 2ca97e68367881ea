package org.cardamomthread.configuration.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.DocumentMapper;
import org.cardamomthread.configuration.document.DocumentSchema;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.Problem;
import org.cardamomthread.configuration.document.YamlReader;

/**
 * Loads the settings of a node from a YAML file.
 *
 * <p>The file is checked against the schema {@value #SCHEMA_RESOURCE} and then for meaning.
 * Relative paths are resolved against the folder of the file. Immutable and safe for use by several
 * threads.
 */
public final class NodeSettingsLoader {

    /** The resource that holds the published schema. */
    public static final String SCHEMA_RESOURCE =
            "/org/cardamomthread/configuration/settings.schema.json";

    private static final DocumentSchema SCHEMA = DocumentSchema.load(SCHEMA_RESOURCE);
    private final DocumentMapper mapper = mapper();

    /**
     * Loads a file.
     *
     * @param file the settings file
     * @return the settings
     * @throws InvalidDocumentException if anything in the file is wrong; holds every error found
     */
    public NodeSettings load(Path file) throws InvalidDocumentException {
        Document document = YamlReader.read(file);
        Path folder = file.toAbsolutePath().normalize().getParent();
        return load(document, folder);
    }

    /**
     * Checks and converts a document.
     *
     * @param document the document
     * @param folder the folder against which relative paths are resolved
     * @return the settings
     * @throws InvalidDocumentException if anything in the document is wrong
     */
    public NodeSettings load(Document document, Path folder) throws InvalidDocumentException {
        List<Problem> problems = new ArrayList<>(SCHEMA.validate(document));
        problems.addAll(new AddressValidator(document).validate());
        throwIfAny(problems);
        ObjectNode tree = (ObjectNode) SCHEMA.withDefaults(document.root());
        new SecretResolver(document, folder, problems).resolveSecrets(tree);
        throwIfAny(problems);
        resolveDataFolder(tree, folder);
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

    private static void resolveDataFolder(ObjectNode tree, Path folder) {
        JsonNode value = tree.get("dataFolder");
        if (value != null) {
            tree.put("dataFolder", folder.resolve(value.asText()).normalize().toString());
        }
    }

    private static void throwIfAny(List<Problem> problems) throws InvalidDocumentException {
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems);
        }
    }
}
