package org.cardamomthread.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cardamomthread.core.time.SystemTimeSource;
import org.cardamomthread.daemon.start.DaemonExitCode;
import org.cardamomthread.daemon.start.NodeFactory;
import org.cardamomthread.daemon.start.NodeProcess;
import org.cardamomthread.daemon.start.ProcessExit;
import org.cardamomthread.daemon.start.SettingsReloader;
import org.cardamomthread.daemon.telemetry.DaemonLogConfigurator;
import org.slf4j.LoggerFactory;

/**
 * Runs one node of the system as a process.
 *
 * <p>The process exits with one of the codes of {@link DaemonExitCode}. SIGTERM and SIGINT stop the
 * node gracefully; SIGHUP validates changed settings.
 */
public final class Cardamomthreadd {

    private static final Option SETTINGS =
            Option.builder("s")
                    .longOpt("settings")
                    .hasArg()
                    .argName("file")
                    .desc("settings of the node (YAML)")
                    .get();
    private static final Option START_TIMEOUT =
            Option.builder()
                    .longOpt("start-timeout-ms")
                    .hasArg()
                    .argName("ms")
                    .desc(
                            "how long addresses and a data folder in use are waited for, "
                                    + NodeProcess.DEFAULT_START_PERIOD_MS
                                    + " unless set")
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
        NodeFactory nodeFactory = new SettingsFileNodeFactory();
        SettingsReloader reloader = new SettingsReloader(nodeFactory);
        reloader.install();
        ProcessExit exit = new ProcessExit(System.out);
        DaemonLogConfigurator.enable();
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> exitAfterUncaughtError(exit, thread, failure));
        Options options =
                new Options()
                        .addOption(SETTINGS)
                        .addOption(START_TIMEOUT)
                        .addOption(HELP)
                        .addOption(VERSION);
        try {
            CommandLine commandLine = new DefaultParser().parse(options, arguments);
            if (commandLine.hasOption(HELP)) {
                printHelp(options, System.out);
            } else if (commandLine.hasOption(VERSION)) {
                System.out.println("cardamomthreadd " + SettingsFileNodeFactory.readVersion());
            } else if (commandLine.hasOption(SETTINGS)) {
                NodeProcess process =
                        new NodeProcess(
                                nodeFactory,
                                reloader,
                                exit,
                                new SystemTimeSource(),
                                readStartTimeoutMs(commandLine));
                process.installShutdownHook();
                process.run(Path.of(commandLine.getOptionValue(SETTINGS)));
            } else {
                endAfterInvalidCommandLine(exit, "option --settings is missing");
            }
        } catch (ParseException e) {
            endAfterInvalidCommandLine(exit, e.getMessage());
        }
    }

    private static long readStartTimeoutMs(CommandLine commandLine) throws ParseException {
        String text = commandLine.getOptionValue(START_TIMEOUT);
        if (text == null) {
            return NodeProcess.DEFAULT_START_PERIOD_MS;
        }
        try {
            return Long.parseUnsignedLong(text);
        } catch (NumberFormatException e) {
            throw new ParseException(
                    "option --start-timeout-ms: \"" + text + "\" is not a number of 0 or more");
        }
    }

    private static void endAfterInvalidCommandLine(ProcessExit exit, String detail) {
        System.err.println("cardamomthreadd: " + detail + "; see --help");
        exit.end(DaemonExitCode.INVALID_SETTINGS, detail);
    }

    /**
     * Ends the process, which its supervisor starts again, instead of continuing without one of its
     * threads.
     */
    private static void exitAfterUncaughtError(ProcessExit exit, Thread thread, Throwable failure) {
        try {
            LoggerFactory.getLogger(Cardamomthreadd.class)
                    .error(
                            "an error ended thread {}; the process exits",
                            thread.getName(),
                            failure);
        } finally {
            exit.end(
                    DaemonExitCode.INTERNAL_FAILURE,
                    "an error ended thread " + thread.getName() + ": " + failure);
        }
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
}
