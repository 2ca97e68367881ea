package org.cardamomthread.daemon.fleet;

import java.util.List;
import java.util.ServiceLoader;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.start.StartableNode;

/** Creates nodes that join through seed nodes from their settings. Stateless. */
public final class FleetNodeFactory {

    private FleetNodeFactory() {}

    /**
     * Returns whether a document holds the settings of a node that joins through seed nodes.
     *
     * @param document the settings
     * @return true if the document contains a role
     */
    public static boolean isFleetDocument(Document document) {
        return FleetSettingsLoader.isFleetDocument(document);
    }

    /**
     * Validates the settings and assembles the node, without starting it.
     *
     * @param document the settings
     * @return the node, which is not started yet
     * @throws InvalidDocumentException if the settings are invalid; contains all errors
     */
    public static StartableNode create(Document document) throws InvalidDocumentException {
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
     * Validates settings that have changed.
     *
     * @param document the settings
     * @throws InvalidDocumentException if the settings are invalid
     */
    public static void validateSettings(Document document) throws InvalidDocumentException {
        new FleetSettingsLoader().load(document);
    }
}
