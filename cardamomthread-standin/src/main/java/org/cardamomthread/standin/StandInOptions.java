package org.cardamomthread.standin;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cardamomthread.standin.announce.EndpointProfile;
import org.cardamomthread.standin.engine.EngineSettings;

/**
 * Parses the command line options of the stand-ins.
 *
 * <p>Immutable and thread-safe.
 */
final class StandInOptions {

    private static final Options OPTIONS = new Options();

    static {
        add("listen", "address, host:port; port 0 selects a free one (127.0.0.1:0)");
        add("advertise", "announced address, host:port (the listen address)");
        add("id", "endpoint id");
        add("incarnation", "number that increases with each start (the current time)");
        add("data-centre", "data centre");
        add("nodes", "endpoint listeners of nodes, host:port, separated by commas");
        add("token", "bearer token of the endpoints");
        add("class", "endpoint class (small)");
        add("price-class", "reclaimable or on-demand (on-demand)");
        add("services", "service=version+version, separated by commas");
        add("capabilities", "capabilities, separated by commas");
        add("bearable", "announced limit of concurrent requests (16)");
        add("work-ms", "service: duration of a request in ms (5)");
        add("prefill", "engine: prompt tokens processed per second (20000)");
        add("decode", "engine: tokens generated per second and request (200)");
        add("batch", "engine: running requests above which all slow down (16)");
        add("cold-bearable", "engine: limit of concurrent requests while cold (2)");
        add("cold-ms", "engine: time for which it is cold after a start, in ms (0)");
        add("down-ms", "engine: time it is down after a cold overload, in ms (2000)");
        add("cache-blocks", "engine: capacity of the prefix cache in blocks (4096)");
        add("cache-delay-ms", "engine: delay of cache events in ms (300)");
        add("cache-gap-every", "engine: every n-th cache event is lost (0 for none)");
        add("load-lag-ms", "engine: age of the reported load in ms (500)");
        add("load-version-ms", "engine: time to load a version in ms (1000)");
        add("transfers", "platform: weight transfers permitted per second (2)");
    }

    private final CommandLine commandLine;

    private StandInOptions(CommandLine commandLine) {
        this.commandLine = commandLine;
    }

    static StandInOptions parse(String[] arguments) throws ParseException {
        return new StandInOptions(new DefaultParser().parse(OPTIONS, arguments));
    }

    static Options options() {
        return OPTIONS;
    }

    InetSocketAddress listen() {
        String address = text("listen", "127.0.0.1:0");
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        return new InetSocketAddress(address.substring(0, Math.max(0, colon)), port);
    }

    String advertisedAddress(String listenAddress) {
        return text("advertise", listenAddress);
    }

    List<String> nodes() {
        return list("nodes");
    }

    String token() {
        return text("token", "");
    }

    int maxConcurrency() {
        return (int) number("bearable", 16);
    }

    long workMs() {
        return number("work-ms", 5);
    }

    int transfersPerSecond() {
        return (int) number("transfers", 2);
    }

    EndpointProfile profile(String kind) {
        Map<String, List<String>> services = new LinkedHashMap<>();
        for (String entry : list("services")) {
            String[] parts = entry.split("=", 2);
            if (parts.length < 2) {
                throw new IllegalArgumentException(
                        "--services entry \"" + entry + "\" must have the form service=version");
            }
            services.put(parts[0], List.of(parts[1].split("\\+")));
        }
        return new EndpointProfile(
                text("id", kind + "-1"),
                number("incarnation", System.currentTimeMillis()),
                text("data-centre", "dc-1"),
                kind,
                text("class", "small"),
                text("price-class", "on-demand"),
                services,
                list("capabilities"));
    }

    EngineSettings engineSettings() {
        return new EngineSettings(
                number("prefill", 20_000),
                number("decode", 200),
                (int) number("batch", 16),
                maxConcurrency(),
                (int) number("cold-bearable", 2),
                number("cold-ms", 0),
                number("down-ms", 2_000),
                (int) number("cache-blocks", 4_096),
                number("cache-delay-ms", 300),
                (int) number("cache-gap-every", 0),
                number("load-lag-ms", 500),
                number("load-version-ms", 1_000));
    }

    private String text(String name, String defaultValue) {
        return commandLine.getOptionValue(name, defaultValue);
    }

    private long number(String name, long defaultValue) {
        String value = commandLine.getOptionValue(name);
        return value == null ? defaultValue : Long.parseLong(value);
    }

    private List<String> list(String name) {
        String value = commandLine.getOptionValue(name, "");
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    private static void add(String name, String description) {
        OPTIONS.addOption(Option.builder().longOpt(name).hasArg().desc(description).build());
    }
}
