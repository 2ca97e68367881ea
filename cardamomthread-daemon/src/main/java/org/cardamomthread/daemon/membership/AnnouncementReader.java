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
                (int) readNumber(load, "running"),
                (int) readNumber(load, "queued"),
                (int) readNumber(load, "bearableRequests"),
                load.path("kvUsedFraction").asDouble(0),
                load.path("prefillTokensPerSecond").asDouble(0),
                load.path("decodeTokensPerSecond").asDouble(0));
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

    private static long readNumber(JsonNode object, String member) {
        JsonNode value = object.path(member);
        if (!value.isIntegralNumber()) {
            throw new IllegalArgumentException("member \"" + member + "\" must be a whole number");
        }
        return value.asLong();
    }
}
