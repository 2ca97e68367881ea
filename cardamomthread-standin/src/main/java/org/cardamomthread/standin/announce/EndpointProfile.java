package org.cardamomthread.standin.announce;

import java.util.List;
import java.util.Map;

/**
 * Holds the properties that an endpoint announces and that are constant while it runs.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpointId identifier of the endpoint
 * @param incarnation number that increases with each start
 * @param dataCentre the data centre of the endpoint
 * @param kind {@code model} or {@code service}
 * @param endpointClass declared class of the endpoint
 * @param priceClass {@code reclaimable} or {@code on-demand}
 * @param services the versions loaded at the start, by service
 * @param capabilities names of the announced capabilities
 */
public record EndpointProfile(
        String endpointId,
        long incarnation,
        String dataCentre,
        String kind,
        String endpointClass,
        String priceClass,
        Map<String, List<String>> services,
        List<String> capabilities) {}
