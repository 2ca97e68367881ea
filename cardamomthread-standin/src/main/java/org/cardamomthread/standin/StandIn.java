package org.cardamomthread.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cardamomthread.core.time.SystemTimeSource;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.standin.announce.Announcer;
import org.cardamomthread.standin.engine.ModelEngine;
import org.cardamomthread.standin.http.ExchangeHandler;
import org.cardamomthread.standin.http.HttpListener;
import org.cardamomthread.standin.platform.PlatformApi;
import org.cardamomthread.standin.service.PlainService;

/**
 * Simulates an endpoint or the platform. The first argument is {@code engine}, {@code service} or
 * {@code platform}, followed by options.
 *
 * <p>Thread-safe.
 */
public final class StandIn implements AutoCloseable {

    private static final int USAGE_ERROR_EXIT_CODE = 2;
    private static final int LISTEN_ERROR_EXIT_CODE = 3;
    private static final TimeSource TIME_SOURCE = new SystemTimeSource();

    private final HttpListener listener;

    private StandIn(HttpListener listener) {
        this.listener = listener;
    }

    /**
     * Runs the program until it is stopped.
     *
     * @param arguments the command line
     * @throws IOException if the help could not be printed
     */
    public static void main(String[] arguments) throws IOException {
        try {
            StandIn standIn = start(arguments);
            System.out.println("listening on " + format(standIn.address()));
            standIn.listener.awaitClose();
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            HelpFormatter.builder()
                    .get()
                    .printHelp(
                            "engine|service|platform [options]",
                            "",
                            StandInOptions.options(),
                            "",
                            false);
            System.exit(USAGE_ERROR_EXIT_CODE);
        } catch (IOException e) {
            System.err.println(e.getMessage());
            System.exit(LISTEN_ERROR_EXIT_CODE);
        }
    }

    /**
     * Starts a stand-in in this process.
     *
     * @param arguments the command line
     * @return the running stand-in
     * @throws ParseException if the subcommand or an option is unknown
     * @throws IOException if the address cannot be bound
     */
    public static StandIn start(String... arguments) throws ParseException, IOException {
        if (arguments.length == 0) {
            throw new ParseException("subcommand is missing: expected engine, service or platform");
        }
        String[] optionArguments = Arrays.copyOfRange(arguments, 1, arguments.length);
        StandInOptions options = StandInOptions.parse(optionArguments);
        return switch (arguments[0]) {
            case "engine" -> startEngine(options);
            case "service" -> startService(options);
            case "platform" -> {
                PlatformApi platform = new PlatformApi(TIME_SOURCE, options.transfersPerSecond());
                yield new StandIn(new HttpListener(options.listen(), platform));
            }
            default ->
                    throw new ParseException(
                            "subcommand \""
                                    + arguments[0]
                                    + "\" must be engine, service or platform");
        };
    }

    /**
     * Returns the address on which the stand-in listens.
     *
     * @return the address with the actual port
     */
    public InetSocketAddress address() {
        return listener.address();
    }

    @Override
    public void close() {
        listener.close();
    }

    private static StandIn startEngine(StandInOptions options) throws IOException {
        AtomicReference<Announcer> announcer = new AtomicReference<>();
        ModelEngine engine =
                new ModelEngine(
                        options.profile("model"),
                        options.engineSettings(),
                        TIME_SOURCE,
                        () -> announcer.get().announce());
        return startAnnounced(options, engine, engine::announcement, announcer);
    }

    private static StandIn startService(StandInOptions options) throws IOException {
        AtomicReference<Announcer> announcer = new AtomicReference<>();
        PlainService service =
                new PlainService(
                        options.profile("service"),
                        options.workMs(),
                        options.maxConcurrency(),
                        TIME_SOURCE,
                        () -> announcer.get().announce());
        return startAnnounced(options, service, service::announcement, announcer);
    }

    private static StandIn startAnnounced(
            StandInOptions options,
            ExchangeHandler handler,
            Function<String, ObjectNode> announcement,
            AtomicReference<Announcer> announcer)
            throws IOException {
        HttpListener listener = new HttpListener(options.listen(), handler);
        String address = options.advertisedAddress(format(listener.address()));
        announcer.set(
                new Announcer(
                        options.nodes(),
                        options.token(),
                        listener.loop(),
                        () -> announcement.apply(address)));
        announcer.get().start();
        return new StandIn(listener);
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
