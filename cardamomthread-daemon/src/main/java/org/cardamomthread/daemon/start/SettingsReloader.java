package org.cardamomthread.daemon.start;

import java.nio.file.Path;
import java.util.Optional;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Validates changed settings on SIGHUP; valid ones take effect at the next start.
 *
 * <p>Invariant: SIGHUP never ends the process, whenever it arrives and whatever the file contains.
 * A signal that arrives before the settings were read has no effect, since the start reads the
 * changed file. Thread-safe.
 */
public final class SettingsReloader {

    private static final String SIGNAL = "HUP";

    private final NodeFactory nodeFactory;
    private volatile Optional<Path> file = Optional.empty();

    /**
     * Creates a reloader.
     *
     * @param nodeFactory validates the settings
     */
    public SettingsReloader(NodeFactory nodeFactory) {
        this.nodeFactory = nodeFactory;
    }

    /**
     * Takes SIGHUP from the runtime, whose own handler ends the process. Must be the first call of
     * a process.
     */
    public void install() {
        Signal.handle(new Signal(SIGNAL), signal -> file.ifPresent(this::reload));
    }

    /**
     * Sets the file that the node is started with. Must be called before the file is read.
     *
     * @param settingsFile the settings file
     */
    void setFile(Path settingsFile) {
        file = Optional.of(settingsFile);
    }

    private void reload(Path settingsFile) {
        Logger logger = LoggerFactory.getLogger(SettingsReloader.class);
        try {
            nodeFactory.validate(settingsFile);
            logger.atInfo()
                    .addKeyValue("event", "settings-reloaded")
                    .log("the settings are valid; they take effect at the next start");
        } catch (InvalidDocumentException e) {
            logRefusal(logger, e.getMessage());
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
            logRefusal(logger, e.toString());
        }
    }

    private static void logRefusal(Logger logger, String detail) {
        logger.atError()
                .addKeyValue("event", "settings-refused")
                .log("the changed settings are invalid: {}", detail);
    }
}
