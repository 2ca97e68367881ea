package org.cardamomthread.daemon.fleet;

import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.YamlReader;
import org.cardamomthread.daemon.dialect.PlatformDialect;

/** Creates nodes that join through seed nodes from their settings. Stateless. */
public final class FleetNodeFactory {

    private FleetNodeFactory() {}

    /**
     * Returns whether a file holds the settings of a node that joins through seed nodes.
     *
     * @param file the settings file
     * @return true if the file contains a role
     * @throws InvalidDocumentException if the file is missing or not a YAML document
     */
    public static boolean isFleetSettingsFile(Path file) throws InvalidDocumentException {
        return FleetSettingsLoader.isFleetDocument(YamlReader.read(file));
    }

    /**
     * Validates the settings and assembles the node, without starting it.
     *
     * @param file the settings file
     * @return the node, which is not started yet
     * @throws InvalidDocumentException if the settings are invalid; contains all errors
     */
    public static FleetNode create(Path file) throws InvalidDocumentException {
        Document document = YamlReader.read(file);
        FleetSettings settings = new FleetSettingsLoader().load(document);
        PlatformDialect dialect =
                ServiceLoader.load(PlatformDialect.class)
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new InvalidDocumentException(
                                                List.of(
                                                        document.problem(
                                                                "/role",
                                                                "no platform adapter is on the"
                                                                        + " class path",
                                                                "run the packaged distribution"))));
        NodeComponents components = new NodeComponents(settings);
        return settings.role() == FleetRole.GATEWAY
                ? new GatewayNode(components, dialect)
                : new ControlNode(components, dialect);
    }

    /**
     * Validates a settings file that has changed.
     *
     * @param file the settings file
     * @throws InvalidDocumentException if the settings are invalid
     */
    public static void validateSettings(Path file) throws InvalidDocumentException {
        new FleetSettingsLoader().load(file);
    }
}
