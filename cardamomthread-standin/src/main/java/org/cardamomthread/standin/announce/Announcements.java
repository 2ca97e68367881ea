package org.cardamomthread.standin.announce;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cardamomthread.standin.http.Json;

/** Renders announcements. Stateless and safe for use by several threads. */
public final class Announcements {

    private Announcements() {}

    /**
     * Renders what all endpoints announce.
     *
     * @param profile what never changes
     * @param address where the endpoint listens
     * @param state starting, ready, cold or leaving
     * @return the announcement without services, load and sequence
     */
    public static ObjectNode describe(EndpointProfile profile, String address, String state) {
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
