package org.cardamomthread.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.settings.LogFormat;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.configuration.settings.NodeSettingsLoader;
import org.cardamomthread.daemon.fleet.FleetNode;
import org.cardamomthread.daemon.fleet.FleetNodeFactory;
import org.cardamomthread.daemon.http.ListenerBindException;
import org.cardamomthread.daemon.telemetry.DaemonLogConfigurator;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.transport.TransportStartException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * Runs one node of the system as a process.
 *
 * <p>The process exits with one of the codes of {@link DaemonExitCode}. SIGTERM and SIGINT stop the
 * node gracefully.
 */
public final class Cardamomthreadd {

    private static final Option SETTINGS =
            Option.builder("s")
                    .longOpt("settings")
                    .hasArg()
                    .argName("file")
                    .desc("settings of the node (YAML)")
                    .get();
    private static final Option HELP =
            Option.builder("h").longOpt("help").desc("print this help").get();
    private static final Option VERSION =
            Option.builder("v").longOpt("version").desc("print the version").get();

    private Cardamomthreadd() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        DaemonLogConfigurator.enable();
        Thread.setDefaultUncaughtExceptionHandler(Cardamomthreadd::exitAfterUncaughtError);
        DaemonExitCode code = run(arguments, System.out, System.err);
        if (code != DaemonExitCode.STOPPED) {
            System.exit(code.getCode());
        }
    }

    /**
     * Ends the process, which its supervisor starts again, instead of continuing without one of its
     * threads.
     */
    private static void exitAfterUncaughtError(Thread thread, Throwable failure) {
        try {
            LoggerFactory.getLogger(Cardamomthreadd.class)
                    .error(
                            "an error ended thread {}; the process exits",
                            thread.getName(),
                            failure);
            DaemonLogConfigurator.stop();
        } finally {
            Runtime.getRuntime().halt(DaemonExitCode.INTERNAL_FAILURE.getCode());
        }
    }

    private static DaemonExitCode run(String[] arguments, PrintStream out, PrintStream err) {
        Options options = new Options().addOption(SETTINGS).addOption(HELP).addOption(VERSION);
        CommandLine commandLine;
        try {
            commandLine = new DefaultParser().parse(options, arguments);
        } catch (ParseException exception) {
            err.println("cardamomthreadd: " + exception.getMessage() + "; see --help");
            return DaemonExitCode.INVALID_SETTINGS;
        }
        if (commandLine.hasOption(HELP)) {
            printHelp(options, out);
            return DaemonExitCode.STOPPED;
        }
        if (commandLine.hasOption(VERSION)) {
            out.println("cardamomthreadd " + readVersion());
            return DaemonExitCode.STOPPED;
        }
        if (!commandLine.hasOption(SETTINGS)) {
            err.println("cardamomthreadd: option --settings is missing; see --help");
            return DaemonExitCode.INVALID_SETTINGS;
        }
        return runNode(Path.of(commandLine.getOptionValue(SETTINGS)), err);
    }

    private static DaemonExitCode runNode(Path file, PrintStream err) {
        try {
            if (FleetNodeFactory.isFleetSettingsFile(file)) {
                return runFleetNode(file, err);
            }
        } catch (InvalidDocumentException exception) {
            err.println("cardamomthreadd: " + exception.getMessage());
            return DaemonExitCode.INVALID_SETTINGS;
        }
        return runConfiguredNode(file, err);
    }

    /** Runs a node that discovers the system through seed addresses. */
    private static DaemonExitCode runFleetNode(Path file, PrintStream err) {
        org.cardamomthread.daemon.telemetry.LogFormat.JSON.apply();
        Logger logger = LoggerFactory.getLogger(Cardamomthreadd.class);
        FleetNode node;
        try {
            node = FleetNodeFactory.create(file);
        } catch (InvalidDocumentException exception) {
            err.println("cardamomthreadd: " + exception.getMessage());
            return DaemonExitCode.INVALID_SETTINGS;
        }
        try {
            node.start();
        } catch (ListenerBindException | TransportStartException exception) {
            logger.error(exception.getMessage());
            node.close();
            return DaemonExitCode.LISTEN_FAILURE;
        } catch (StorageException exception) {
            logger.error(exception.getMessage());
            node.close();
            return DaemonExitCode.STORAGE_FAILURE;
        }
        Signal.handle(new Signal("HUP"), signal -> reload(file, logger));
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> stop(node::stopGracefully, logger), "shutdown"));
        return DaemonExitCode.STOPPED;
    }

    /** Validates changed settings on SIGHUP; valid ones take effect at the next start. */
    private static void reload(Path file, Logger logger) {
        try {
            FleetNodeFactory.validateSettings(file);
            logger.atInfo()
                    .addKeyValue("event", "settings-reloaded")
                    .log("the settings are valid; they take effect at the next start");
        } catch (InvalidDocumentException exception) {
            logger.atError()
                    .addKeyValue("event", "settings-refused")
                    .log("the changed settings are invalid: {}", exception.getMessage());
        }
    }

    private static DaemonExitCode runConfiguredNode(Path file, PrintStream err) {
        NodeSettings settings;
        try {
            settings = new NodeSettingsLoader().load(file);
        } catch (InvalidDocumentException exception) {
            err.println("cardamomthreadd: " + exception.getMessage());
            return DaemonExitCode.INVALID_SETTINGS;
        }
        resolveLogFormat(settings).apply();
        Logger logger = LoggerFactory.getLogger(Cardamomthreadd.class);
        Node node = new Node(settings, readVersion());
        try {
            node.start();
        } catch (ListenerBindException | TransportStartException exception) {
            logger.error(exception.getMessage());
            node.close();
            return DaemonExitCode.LISTEN_FAILURE;
        } catch (StorageException exception) {
            logger.error(exception.getMessage());
            node.close();
            return DaemonExitCode.STORAGE_FAILURE;
        }
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> stop(node::stopGracefully, logger), "shutdown"));
        return DaemonExitCode.STOPPED;
    }

    /**
     * Runs as the shutdown hook; halts the process, since a hook cannot change the exit code
     * otherwise.
     */
    private static void stop(BooleanSupplier gracefulStop, Logger logger) {
        DaemonExitCode code;
        try {
            code =
                    gracefulStop.getAsBoolean()
                            ? DaemonExitCode.STOPPED
                            : DaemonExitCode.STOPPED_WITH_OPEN_REQUESTS;
        } catch (RuntimeException exception) {
            logger.error("the node failed while stopping", exception);
            code = DaemonExitCode.INTERNAL_FAILURE;
        }
        Runtime.getRuntime().halt(code.getCode());
    }

    private static org.cardamomthread.daemon.telemetry.LogFormat resolveLogFormat(
            NodeSettings settings) {
        return settings.telemetry().logFormat() == LogFormat.JSON
                ? org.cardamomthread.daemon.telemetry.LogFormat.JSON
                : org.cardamomthread.daemon.telemetry.LogFormat.TEXT;
    }

    private static void printHelp(Options options, PrintStream out) {
        try {
            HelpFormatter formatter = HelpFormatter.builder().setShowSince(false).get();
            formatter.printHelp(
                    "cardamomthreadd --settings <file>",
                    "Runs one node of cardamomthread.",
                    options,
                    "Exit codes: 0 stopped, 1 internal failure, 2 invalid settings, 3 address not"
                            + " bound, 4 data folder unusable, 5 stopped with open requests.",
                    false);
        } catch (IOException exception) {
            out.println("cannot print the help text: " + exception.getMessage());
        }
    }

    private static String readVersion() {
        return Optional.ofNullable(Cardamomthreadd.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
