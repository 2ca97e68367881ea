package org.cardamomthread.daemon;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.YamlReader;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.configuration.settings.NodeSettingsLoader;
import org.cardamomthread.daemon.fleet.FleetNodeFactory;
import org.cardamomthread.daemon.start.NodeFactory;
import org.cardamomthread.daemon.start.StartableNode;
import org.cardamomthread.daemon.telemetry.LogFormat;

/**
 * Creates the kind of node that a settings file describes: one that discovers the system through
 * seed addresses if it has a role, or one with a configured list of nodes. Thread-safe.
 */
final class SettingsFileNodeFactory implements NodeFactory {

    private final AtomicBoolean isLoggingConfigured = new AtomicBoolean();

    /** Returns the version in the program's manifest. */
    static String readVersion() {
        return Optional.ofNullable(
                        SettingsFileNodeFactory.class.getPackage().getImplementationVersion())
                .orElse("development");
    }

    @Override
    public StartableNode create(Path file) throws InvalidDocumentException {
        Document document = YamlReader.read(file);
        if (FleetNodeFactory.isFleetDocument(document)) {
            configureLogging(LogFormat.JSON);
            return FleetNodeFactory.create(document);
        }
        NodeSettings settings = load(file, document);
        configureLogging(resolveLogFormat(settings));
        return new Node(settings, readVersion());
    }

    @Override
    public void validate(Path file) throws InvalidDocumentException {
        Document document = YamlReader.read(file);
        if (FleetNodeFactory.isFleetDocument(document)) {
            FleetNodeFactory.validateSettings(document);
        } else {
            load(file, document);
        }
    }

    private static NodeSettings load(Path file, Document document) throws InvalidDocumentException {
        return new NodeSettingsLoader()
                .load(document, file.toAbsolutePath().normalize().getParent());
    }

    private void configureLogging(LogFormat format) {
        if (isLoggingConfigured.compareAndSet(false, true)) {
            format.apply();
        }
    }

    private static LogFormat resolveLogFormat(NodeSettings settings) {
        return settings.telemetry().logFormat()
                        == org.cardamomthread.configuration.settings.LogFormat.JSON
                ? LogFormat.JSON
                : LogFormat.TEXT;
    }
}
