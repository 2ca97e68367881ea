package org.cardamomthread.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.configuration.document.Problem;
import org.cardamomthread.configuration.document.YamlReader;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.daemon.view.QuotaDivision;
import org.cardamomthread.transport.NettyPeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads the settings of a node that joins by seeds from a YAML file.
 *
 * <p>Every error found is reported with its place; keys that are not known are named in the log and
 * ignored. Used by one thread at a time.
 */
final class FleetSettingsLoader {

    private static final Logger LOGGER = LoggerFactory.getLogger(FleetSettingsLoader.class);
    private static final Set<String> KEYS =
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
    private static final int MAX_PORT = NetworkAddress.MAX_PORT;

    private final List<Problem> problems = new ArrayList<>();
    private Document document;

    /** Tells whether a document holds settings of this form. */
    static boolean isFleetDocument(Document document) {
        return document.root().has("role");
    }

    /**
     * Loads a file.
     *
     * @throws InvalidDocumentException holds every error found
     */
    FleetSettings load(Path file) throws InvalidDocumentException {
        return load(YamlReader.read(file));
    }

    FleetSettings load(Document source) throws InvalidDocumentException {
        document = source;
        problems.clear();
        source.root()
                .fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!KEYS.contains(key)) {
                                LOGGER.warn("settings key \"{}\" is not known and ignored", key);
                            }
                        });
        FleetSettings settings = read();
        if (settings != null) {
            checkRole(settings);
        }
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems);
        }
        return settings;
    }

    private FleetSettings read() {
        FleetRole role = require("/role", text -> FleetRole.valueOf(text.toUpperCase(Locale.ROOT)));
        String nodeName = require("/nodeName", Function.identity());
        String ip = require("/ip", text -> new NetworkAddress(text, MAX_PORT).ip());
        DataCentreId dataCentre = require("/dataCentre", DataCentreId::new);
        long peerPort = number("/peerPort", 1, MAX_PORT);
        String peerKey = require("/peerKey", FleetSettingsLoader::checkKey);
        NetworkAddress metrics = require("/listeners/metrics", NetworkAddress::parse);
        Optional<NetworkAddress> callers = address("/listeners/callers");
        Optional<NetworkAddress> readiness = address("/listeners/readiness");
        Optional<NetworkAddress> control = address("/listeners/control");
        Optional<NetworkAddress> platform = address("/platform");
        Optional<Path> dataFolder = optional("/dataFolder", Path::of);
        List<NetworkAddress> seeds = seeds();
        boolean isFirstStart = flag("/firstStart");
        FleetLimits limits = limits();
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
                limits);
    }

    private FleetLimits limits() {
        return new FleetLimits(
                number("/limits/revocationMs", 1, Long.MAX_VALUE),
                number("/limits/leaseMs", 1, Long.MAX_VALUE),
                number("/limits/shutdownMs", 1, Long.MAX_VALUE),
                fraction("/limits/repeatRatio"),
                fraction("/limits/repeatExtra"),
                fraction("/limits/repeatWindowS"),
                new QuotaDivision(
                        fraction("/limits/quotaWindowS"),
                        fraction("/limits/quotaOvershoot"),
                        fraction("/limits/quotaSlack")),
                number("/limits/usageWindowS", 1, Long.MAX_VALUE),
                number("/limits/usageLateS", 1, Long.MAX_VALUE));
    }

    private void checkRole(FleetSettings settings) {
        if (settings.role() == FleetRole.GATEWAY) {
            needs(settings.callers().isPresent(), "/listeners/callers", "a gateway");
            needs(settings.readiness().isPresent(), "/listeners/readiness", "a gateway");
        } else {
            needs(settings.control().isPresent(), "/listeners/control", "a control node");
            needs(settings.dataFolder().isPresent(), "/dataFolder", "a control node");
        }
    }

    private void needs(boolean isPresent, String pointer, String role) {
        if (!isPresent) {
            report(pointer, "the key is missing", "set it, " + role + " needs it");
        }
    }

    private List<NetworkAddress> seeds() {
        List<NetworkAddress> seeds = new ArrayList<>();
        JsonNode list = document.root().path("seeds");
        if (!list.isArray() || list.isEmpty()) {
            report("/seeds", "there are no seeds", "list addresses of control nodes");
            return seeds;
        }
        for (int i = 0; i < list.size(); i++) {
            NetworkAddress seed = require("/seeds/" + i, NetworkAddress::parse);
            if (seed != null) {
                seeds.add(seed);
            }
        }
        return seeds;
    }

    private Optional<NetworkAddress> address(String pointer) {
        return optional(pointer, NetworkAddress::parse);
    }

    private <T> Optional<T> optional(String pointer, Function<String, T> parser) {
        JsonNode value = document.root().at(pointer);
        boolean isAbsent = value.isMissingNode() || value.isNull() || value.asText().isEmpty();
        return isAbsent ? Optional.empty() : Optional.ofNullable(require(pointer, parser));
    }

    private <T> T require(String pointer, Function<String, T> parser) {
        JsonNode value = document.root().at(pointer);
        if (value.isMissingNode() || value.isNull()) {
            report(pointer, "the key is missing", "set it");
            return null;
        }
        if (!value.isTextual()) {
            report(pointer, "the value " + value + " is no text", "write it in quotes");
            return null;
        }
        try {
            return parser.apply(value.asText());
        } catch (IllegalArgumentException e) {
            report(pointer, "the value is wrong: " + e.getMessage(), "correct it");
            return null;
        }
    }

    private long number(String pointer, long min, long max) {
        JsonNode value = document.root().at(pointer);
        if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
            report(
                    pointer,
                    "the value " + value + " is no whole number of " + min + " or more",
                    "write one");
            return min;
        }
        return value.asLong();
    }

    private double fraction(String pointer) {
        JsonNode value = document.root().at(pointer);
        if (!value.isNumber() || value.asDouble() < 0) {
            report(pointer, "the value " + value + " is no number of 0 or more", "write one");
            return 0;
        }
        return value.asDouble();
    }

    private boolean flag(String pointer) {
        JsonNode value = document.root().at(pointer);
        if (!value.isBoolean()) {
            report(pointer, "the value " + value + " is neither true nor false", "write either");
        }
        return value.asBoolean();
    }

    private static String checkKey(String key) {
        int minBytes = NettyPeerTransport.MIN_PEER_KEY_BYTES;
        if (key.length() < minBytes) {
            throw new IllegalArgumentException("the key must have " + minBytes + " bytes or more");
        }
        return key;
    }

    private void report(String pointer, String detail, String remedy) {
        problems.add(document.problem(pointer, detail, remedy));
    }
}
