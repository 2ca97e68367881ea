package org.cardamomthread.daemon.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.endpoint.CacheEvent;
import org.cardamomthread.membership.endpoint.Capability;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointKind;
import org.cardamomthread.membership.endpoint.EndpointLoad;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.endpoint.PriceClass;
import org.cardamomthread.membership.endpoint.ServedVersion;

/** Parses the JSON form of announcements. Stateless and thread-safe. */
final class AnnouncementReader {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int HEXADECIMAL = 16;

    /** The highest integer that every JSON library can represent. */
    private static final long MAX_INTEGER = (1L << 53) - 1;

    /** The highest number of requests that an endpoint may report. */
    private static final long MAX_REQUESTS = 1_000_000;

    /** The highest number of tokens per second that an endpoint may report. */
    private static final double MAX_TOKEN_RATE = 1e9;

    /** The cache may be reported as slightly overfull. */
    private static final double MAX_FRACTION = 2;

    private AnnouncementReader() {}

    /**
     * Parses an announcement and checks its values.
     *
     * @param body the JSON document
     * @return the announcement
     * @throws InvalidAnnouncementException if the body is not JSON, or a member is missing or has
     *     an invalid value
     */
    static EndpointAnnouncement read(byte[] body) throws InvalidAnnouncementException {
        JsonNode document;
        try {
            document = MAPPER.readTree(body);
        } catch (IOException failure) {
            throw new InvalidAnnouncementException("the body must be one JSON object", failure);
        }
        try {
            return new EndpointAnnouncement(
                    new EndpointId(readText(document, "endpointId")),
                    readNumber(document, "incarnation"),
                    readNumber(document, "sequence"),
                    new DataCentreId(readText(document, "dataCentre")),
                    readDescription(document),
                    readLoad(document.path("load")),
                    readCacheEvents(document.path("cacheEvents")));
        } catch (IllegalArgumentException failure) {
            throw new InvalidAnnouncementException(failure.getMessage(), failure);
        }
    }

    private static EndpointDescription readDescription(JsonNode document) {
        String address = readText(document, "address");
        NetworkAddress.parse(address);
        return new EndpointDescription(
                address,
                EndpointKind.fromWireName(readText(document, "kind")),
                new EndpointClassId(readText(document, "endpointClass")),
                PriceClass.fromWireName(readText(document, "priceClass")),
                readServices(document.path("services")),
                readCapabilities(document.path("capabilities")),
                EndpointState.fromWireName(readText(document, "state")));
    }

    private static List<ServedVersion> readServices(JsonNode services) {
        List<ServedVersion> servedVersions = new ArrayList<>();
        for (JsonNode service : services) {
            List<String> adapters = new ArrayList<>();
            service.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
            servedVersions.add(
                    new ServedVersion(
                            new ServiceId(readText(service, "service")),
                            new VersionId(readText(service, "version")),
                            adapters));
        }
        return servedVersions;
    }

    private static Set<Capability> readCapabilities(JsonNode names) {
        Set<Capability> capabilities = EnumSet.noneOf(Capability.class);
        names.forEach(name -> Capability.fromWireName(name.asText()).ifPresent(capabilities::add));
        return capabilities;
    }

    private static EndpointLoad readLoad(JsonNode load) {
        return new EndpointLoad(
                readNumber(load, "atMs"),
                readCount(load, "running"),
                readCount(load, "queued"),
                readCount(load, "bearableRequests"),
                readOptionalNumber(load, "kvUsedFraction", MAX_FRACTION),
                readOptionalNumber(load, "prefillTokensPerSecond", MAX_TOKEN_RATE),
                readOptionalNumber(load, "decodeTokensPerSecond", MAX_TOKEN_RATE));
    }

    private static List<CacheEvent> readCacheEvents(JsonNode events) {
        List<CacheEvent> cacheEvents = new ArrayList<>();
        for (JsonNode event : events) {
            List<Long> blocks = new ArrayList<>();
            for (JsonNode block : event.path("blocks")) {
                blocks.add(Long.parseUnsignedLong(block.asText(), HEXADECIMAL));
            }
            cacheEvents.add(
                    new CacheEvent(readNumber(event, "sequence"), readText(event, "type"), blocks));
        }
        return cacheEvents;
    }

    private static String readText(JsonNode object, String member) {
        JsonNode value = object.path(member);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("member \"" + member + "\" must be a string");
        }
        return value.asText();
    }

    private static int readCount(JsonNode object, String member) {
        return (int) readNumber(object, member, MAX_REQUESTS);
    }

    private static long readNumber(JsonNode object, String member) {
        return readNumber(object, member, MAX_INTEGER);
    }

    private static long readNumber(JsonNode object, String member, long max) {
        JsonNode value = object.path(member);
        boolean isInBounds =
                value.isIntegralNumber()
                        && value.canConvertToLong()
                        && value.asLong() >= 0
                        && value.asLong() <= max;
        if (!isInBounds) {
            throw new IllegalArgumentException(
                    "member \"" + member + "\" must be a whole number from 0 to " + max);
        }
        return value.asLong();
    }

    /** Reads a number from 0 to {@code max}, which is 0 if it is absent. */
    private static double readOptionalNumber(JsonNode object, String member, double max) {
        JsonNode value = object.path(member);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        if (!value.isNumber() || !(value.asDouble() >= 0 && value.asDouble() <= max)) {
            throw new IllegalArgumentException(
                    "member \"" + member + "\" must be a number from 0 to " + max);
        }
        return value.asDouble();
    }
}
