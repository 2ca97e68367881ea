package org.cardamomthread.standin.announce;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cardamomthread.standin.http.Json;

/**
 * Builds the parts of an announcement that are common to all endpoints. Stateless and thread-safe.
 */
public final class Announcements {

    private Announcements() {}

    /**
     * Builds an announcement from the profile of an endpoint.
     *
     * @param profile the constant properties of the endpoint
     * @param address the address of the endpoint, host:port
     * @param state {@code starting}, {@code ready}, {@code cold} or {@code leaving}
     * @return the announcement, to which the caller adds services, load and sequence
     */
    public static ObjectNode create(EndpointProfile profile, String address, String state) {
        ObjectNode document =
                Json.object()
                        .put("endpointId", profile.endpointId())
                        .put("incarnation", profile.incarnation())
                        .put("dataCentre", profile.dataCentre())
                        .put("address", address)
                        .put("kind", profile.kind())
                        .put("endpointClass", profile.endpointClass())
                        .put("priceClass", profile.priceClass())
                        .put("state", state);
        ArrayNode capabilities = document.putArray("capabilities");
        profile.capabilities().forEach(capabilities::add);
        return document;
    }
}
