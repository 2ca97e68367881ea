package org.cardamomthread.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.configuration.document.YamlReader;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.daemon.forwarding.CanaryAllocation;
import org.cardamomthread.daemon.forwarding.WaitingLimits;
import org.cardamomthread.daemon.http.ClientLimits;
import org.cardamomthread.daemon.http.ClientMemory;
import org.cardamomthread.daemon.view.QuotaAllocation;
import org.cardamomthread.transport.NettyPeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads the settings of a node that joins through seed nodes from a YAML file.
 *
 * <p>All errors are collected and reported with their position. Unknown keys are logged and
 * ignored. Not thread-safe.
 */
final class FleetSettingsLoader {

    private static final Logger LOGGER = LoggerFactory.getLogger(FleetSettingsLoader.class);
    private static final Set<String> KNOWN_KEYS =
            Set.of(
                    "role",
                    "nodeName",
                    "ip",
                    "dataCentre",
                    "peerPort",
                    "peerKey",
                    "listeners",
                    "seeds",
                    "firstStart",
                    "dataFolder",
                    "platform",
                    "limits");
    private static final double DEFAULT_CANARY_SHARE = 0.05;

    /**
     * Highest margin, in milliseconds: with more than a minute, requests would leave their data
     * centre only after any time limit in use.
     */
    private static final long MAX_DATA_CENTRE_MARGIN_MS = 60_000;

    private static final int DEFAULT_CONTROL_NODE_LOSSES = 1;

    /** Checking more waiting requests would take too much of a gateway's processor time. */
    private static final long MAX_WAITING_REQUESTS = 4_096;

    /** Less than a third of the heap with which gateways are started. */
    private static final long MAX_WAITING_BYTES = 16L * 1024 * 1024;

    private static final long MAX_CLIENT_LIMIT = 1_000_000;

    private static final int MAX_PORT = NetworkAddress.MAX_PORT;

    private final List<DocumentProblem> problems = new ArrayList<>();
    private Document document;

    /** Returns whether a document holds settings of this kind, which have a role. */
    static boolean isFleetDocument(Document document) {
        return document.root().has("role");
    }

    /**
     * Loads and validates a settings file.
     *
     * @throws InvalidDocumentException if the settings are invalid; contains all errors
     */
    FleetSettings load(Path file) throws InvalidDocumentException {
        return load(YamlReader.read(file));
    }

    FleetSettings load(Document newDocument) throws InvalidDocumentException {
        document = newDocument;
        problems.clear();
        newDocument
                .root()
                .fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!KNOWN_KEYS.contains(key)) {
                                LOGGER.warn("ignoring unknown settings key \"{}\"", key);
                            }
                        });
        FleetSettings settings = readSettings();
        if (settings != null) {
            validateRole(settings);
        }
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems);
        }
        return settings;
    }

    private FleetSettings readSettings() {
        FleetRole role =
                readText("/role", text -> FleetRole.valueOf(text.toUpperCase(Locale.ROOT)));
        String nodeName = readText("/nodeName", Function.identity());
        String ip = readText("/ip", text -> new NetworkAddress(text, MAX_PORT).ip());
        DataCentreId dataCentre = readText("/dataCentre", DataCentreId::new);
        long peerPort = readLong("/peerPort", 1, MAX_PORT);
        String peerKey = readText("/peerKey", FleetSettingsLoader::validatePeerKey);
        NetworkAddress metrics = readText("/listeners/metrics", NetworkAddress::parse);
        Optional<NetworkAddress> callers = readOptionalAddress("/listeners/callers");
        Optional<NetworkAddress> readiness = readOptionalAddress("/listeners/readiness");
        Optional<NetworkAddress> control = readOptionalAddress("/listeners/control");
        Optional<NetworkAddress> platform = readOptionalAddress("/platform");
        Optional<Path> dataFolder = readOptionalText("/dataFolder", Path::of);
        List<NetworkAddress> seeds = readSeeds();
        boolean isFirstStart = readBoolean("/firstStart");
        FleetLimits limits = readLimits();
        ClientSettings clientSettings = readClientSettings();
        if (!problems.isEmpty()) {
            return null;
        }
        return new FleetSettings(
                role,
                nodeName,
                ip,
                dataCentre,
                (int) peerPort,
                peerKey,
                callers,
                readiness,
                control,
                metrics,
                seeds,
                isFirstStart,
                dataFolder,
                platform,
                limits,
                clientSettings);
    }

    private FleetLimits readLimits() {
        return new FleetLimits(
                readLong("/limits/revocationMs", 1, Long.MAX_VALUE),
                readLong("/limits/leaseMs", 1, Long.MAX_VALUE),
                readLong("/limits/shutdownMs", 1, Long.MAX_VALUE),
                readNonNegativeDouble("/limits/repeatRatio"),
                readNonNegativeDouble("/limits/repeatExtra"),
                readNonNegativeDouble("/limits/repeatWindowS"),
                new QuotaAllocation(
                        readNonNegativeDouble("/limits/quotaWindowS"),
                        readNonNegativeDouble("/limits/quotaOvershoot"),
                        readNonNegativeDouble("/limits/quotaSlack")),
                readLong("/limits/usageWindowS", 1, Long.MAX_VALUE),
                readLong("/limits/usageLateS", 1, Long.MAX_VALUE),
                new CanaryAllocation(
                        readOptionalDouble("/limits/canaryShare", DEFAULT_CANARY_SHARE),
                        readOptionalDouble("/limits/canaryExtra", 0)),
                readControlNodeLosses(),
                readDataCentreMargin(),
                new WaitingLimits(
                        (int)
                                readBoundedLong(
                                        "/limits/waitingRequests",
                                        WaitingLimits.DEFAULT.maxRequests(),
                                        MAX_WAITING_REQUESTS),
                        readBoundedLong(
                                "/limits/waitingBytes",
                                WaitingLimits.DEFAULT.maxBytes(),
                                MAX_WAITING_BYTES)));
    }

    private int readControlNodeLosses() {
        return (int)
                readOptionalLong(
                        "/limits/controlNodeLosses",
                        0,
                        Integer.MAX_VALUE,
                        DEFAULT_CONTROL_NODE_LOSSES);
    }

    private ClientSettings readClientSettings() {
        ClientLimits defaults = ClientLimits.DEFAULT;
        return new ClientSettings(
                new ClientLimits(
                        readLimit("maxHeaderLines", 1, defaults.maxHeaderLines()),
                        readLimit("maxEmptyLines", 1, defaults.maxEmptyLines()),
                        readLimit("maxChunkFramingBytes", 1, defaults.maxChunkFramingBytes()),
                        readLimit("headTimeoutMs", 1, defaults.headTimeoutMs()),
                        readLimit("bodyStallTimeoutMs", 1, defaults.bodyStallTimeoutMs()),
                        readLimit("responseStallTimeoutMs", 1, defaults.responseStallTimeoutMs())),
                readOptionalLong(
                        "/limits/clientMemoryBytes",
                        ClientMemory.MIN_BYTES,
                        Long.MAX_VALUE,
                        ClientMemory.defaultMaxBytes()));
    }

    private int readLimit(String key, int min, long defaultValue) {
        return (int) readOptionalLong("/limits/" + key, min, MAX_CLIENT_LIMIT, defaultValue);
    }

    private long readOptionalLong(String pointer, long min, long max, long defaultValue) {
        return document.root().at(pointer).isMissingNode()
                ? defaultValue
                : readLong(pointer, min, max);
    }

    private OptionalLong readDataCentreMargin() {
        String pointer = "/limits/dataCentreMarginMs";
        return document.root().at(pointer).isMissingNode()
                ? OptionalLong.empty()
                : OptionalLong.of(readLong(pointer, 0, MAX_DATA_CENTRE_MARGIN_MS));
    }

    private void validateRole(FleetSettings settings) {
        if (settings.role() == FleetRole.GATEWAY) {
            requirePresent(settings.callers().isPresent(), "/listeners/callers", "a gateway");
            requirePresent(settings.readiness().isPresent(), "/listeners/readiness", "a gateway");
        } else {
            requirePresent(settings.control().isPresent(), "/listeners/control", "a control node");
            requirePresent(settings.dataFolder().isPresent(), "/dataFolder", "a control node");
        }
    }

    private void requirePresent(boolean isPresent, String pointer, String role) {
        if (!isPresent) {
            addProblem(pointer, "the key is missing", "set it: " + role + " requires it");
        }
    }

    private List<NetworkAddress> readSeeds() {
        List<NetworkAddress> seeds = new ArrayList<>();
        JsonNode list = document.root().path("seeds");
        if (!list.isArray() || list.isEmpty()) {
            addProblem(
                    "/seeds",
                    "there are no seeds",
                    "list the addresses of one or more control nodes");
            return seeds;
        }
        for (int i = 0; i < list.size(); i++) {
            NetworkAddress seed = readText("/seeds/" + i, NetworkAddress::parse);
            if (seed != null) {
                seeds.add(seed);
            }
        }
        return seeds;
    }

    private Optional<NetworkAddress> readOptionalAddress(String pointer) {
        return readOptionalText(pointer, NetworkAddress::parse);
    }

    private <T> Optional<T> readOptionalText(String pointer, Function<String, T> parser) {
        JsonNode value = document.root().at(pointer);
        boolean isAbsent = value.isMissingNode() || value.isNull() || value.asText().isEmpty();
        return isAbsent ? Optional.empty() : Optional.ofNullable(readText(pointer, parser));
    }

    private <T> T readText(String pointer, Function<String, T> parser) {
        JsonNode value = document.root().at(pointer);
        if (value.isMissingNode() || value.isNull()) {
            addProblem(pointer, "the key is missing", "set it");
            return null;
        }
        if (!value.isTextual()) {
            addProblem(pointer, "the value " + value + " is not a string", "write it in quotes");
            return null;
        }
        try {
            return parser.apply(value.asText());
        } catch (IllegalArgumentException e) {
            addProblem(pointer, "the value is invalid: " + e.getMessage(), "correct it");
            return null;
        }
    }

    private long readLong(String pointer, long min, long max) {
        JsonNode value = document.root().at(pointer);
        boolean isInRange =
                value.isIntegralNumber()
                        && value.canConvertToLong()
                        && value.asLong() >= min
                        && value.asLong() <= max;
        if (!isInRange) {
            String bounds = max == Long.MAX_VALUE ? min + " or more" : min + " to " + max;
            addProblem(
                    pointer,
                    "the value " + value + " is not an integer of " + bounds,
                    "set it to such a number");
            return min;
        }
        return value.asLong();
    }

    /** Reads an optional integer from 0 to a maximum. */
    private long readBoundedLong(String pointer, long defaultValue, long max) {
        JsonNode value = document.root().at(pointer);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.canConvertToLong()
                || !value.isIntegralNumber()
                || value.asLong() < 0
                || value.asLong() > max) {
            addProblem(
                    pointer,
                    "the value " + value + " is not an integer from 0 to " + max,
                    "set it to such a number");
            return defaultValue;
        }
        return value.asLong();
    }

    private double readOptionalDouble(String pointer, double defaultValue) {
        return document.root().at(pointer).isMissingNode()
                ? defaultValue
                : readNonNegativeDouble(pointer);
    }

    private double readNonNegativeDouble(String pointer) {
        JsonNode value = document.root().at(pointer);
        if (!value.isNumber() || value.asDouble() < 0) {
            addProblem(
                    pointer,
                    "the value " + value + " is not a number of 0 or more",
                    "set it to such a number");
            return 0;
        }
        return value.asDouble();
    }

    private boolean readBoolean(String pointer) {
        JsonNode value = document.root().at(pointer);
        if (!value.isBoolean()) {
            addProblem(
                    pointer, "the value " + value + " is not a boolean", "set it to true or false");
        }
        return value.asBoolean();
    }

    private static String validatePeerKey(String key) {
        int minBytes = NettyPeerTransport.MIN_PEER_KEY_BYTES;
        if (key.length() < minBytes) {
            throw new IllegalArgumentException("the key must have at least " + minBytes + " bytes");
        }
        return key;
    }

    private void addProblem(String pointer, String detail, String remedy) {
        problems.add(document.problem(pointer, detail, remedy));
    }
}
