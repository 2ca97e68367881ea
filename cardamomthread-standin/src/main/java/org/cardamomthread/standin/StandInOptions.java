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
 * Reads the command line.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class StandInOptions {

    private static final Options OPTIONS = new Options();

    static {
        add("listen", "address, host:port; port 0 chooses a free one (127.0.0.1:0)");
        add("advertise", "address that is announced, host:port (the one in use)");
        add("id", "endpoint id");
        add("incarnation", "rises with each start (the time)");
        add("data-centre", "data centre");
        add("nodes", "endpoint listeners of nodes, host:port, separated by commas");
        add("token", "token that endpoints present");
        add("class", "endpoint class (small)");
        add("price-class", "reclaimable or on-demand (on-demand)");
        add("services", "service=version+version, separated by commas");
        add("capabilities", "capabilities, separated by commas");
        add("bearable", "bearable requests (16)");
        add("work-ms", "service: time a request takes (5)");
        add("prefill", "engine: prompt tokens a second (20000)");
        add("decode", "engine: tokens a second of one request (200)");
        add("batch", "engine: requests beyond which all become slower (16)");
        add("cold-bearable", "engine: bearable requests while cold (2)");
        add("cold-ms", "engine: time until it is warm (0)");
        add("down-ms", "engine: time it is down after it fell over (2000)");
        add("cache-blocks", "engine: bound of the prefix cache (4096)");
        add("cache-delay-ms", "engine: delay of cache events (300)");
        add("cache-gap-every", "engine: one cache event of so many is lost (0 for none)");
        add("load-lag-ms", "engine: age of the reported load (500)");
        add("load-version-ms", "engine: time to load a version (1000)");
        add("transfers", "platform: transfers of weights a second (2)");
    }

    private final CommandLine line;

    private StandInOptions(CommandLine line) {
        this.line = line;
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

    String advertise(String inUse) {
        return text("advertise", inUse);
    }

    List<String> nodes() {
        return list("nodes");
    }

    String token() {
        return text("token", "");
    }

    int bearable() {
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
                bearable(),
                (int) number("cold-bearable", 2),
                number("cold-ms", 0),
                number("down-ms", 2_000),
                (int) number("cache-blocks", 4_096),
                number("cache-delay-ms", 300),
                (int) number("cache-gap-every", 0),
                number("load-lag-ms", 500),
                number("load-version-ms", 1_000));
    }

    private String text(String name, String absent) {
        return line.getOptionValue(name, absent);
    }

    private long number(String name, long absent) {
        String value = line.getOptionValue(name);
        return value == null ? absent : Long.parseLong(value);
    }

    private List<String> list(String name) {
        String value = line.getOptionValue(name, "");
        return value.isEmpty() ? List.of() : Arrays.asList(value.split(","));
    }

    private static void add(String name, String description) {
        OPTIONS.addOption(Option.builder().longOpt(name).hasArg().desc(description).build());
    }
}
