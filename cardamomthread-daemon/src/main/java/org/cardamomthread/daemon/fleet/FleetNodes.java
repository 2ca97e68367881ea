package org.cardamomthread.daemon.fleet;

import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.YamlReader;
import org.cardamomthread.daemon.dialect.PlatformDialect;

/** Creates nodes that join by seeds from their settings. Stateless. */
public final class FleetNodes {

    private FleetNodes() {}

    /**
     * Tells whether a file holds settings of a node that joins by seeds.
     *
     * @param file the settings file
     * @return true if it names a role
     * @throws InvalidDocumentException if the file is missing or no YAML document
     */
    public static boolean isFleetFile(Path file) throws InvalidDocumentException {
        return FleetSettingsLoader.isFleetDocument(YamlReader.read(file));
    }

    /**
     * Checks the settings and assembles the node; it does not listen yet.
     *
     * @param file the settings file
     * @return the node
     * @throws InvalidDocumentException if the settings are wrong; holds every error found
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
                                                                "this program holds no adapter to"
                                                                        + " a platform",
                                                                "run the packaged program"))));
        NodeComponents parts = new NodeComponents(settings);
        return settings.role() == FleetRole.GATEWAY
                ? new GatewayNode(parts, dialect)
                : new ControlNode(parts, dialect);
    }

    /**
     * Checks a settings file that has changed.
     *
     * @param file the settings file
     * @throws InvalidDocumentException if the settings are wrong
     */
    public static void check(Path file) throws InvalidDocumentException {
        new FleetSettingsLoader().load(file);
    }
}
