package org.cardamomthread.standin.announce;

import java.util.List;
import java.util.Map;

/**
 * Holds what an endpoint says of itself and never changes while it runs.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param endpointId the endpoint
 * @param incarnation rises with each start
 * @param dataCentre where it stands
 * @param kind model or service
 * @param endpointClass its declared class
 * @param priceClass reclaimable or on-demand
 * @param services the version at the start by service
 * @param capabilities what it can do, as announced
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
