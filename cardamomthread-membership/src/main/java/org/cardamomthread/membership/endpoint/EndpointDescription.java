package org.cardamomthread.membership.endpoint;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.cardamomthread.core.id.EndpointClassId;

/**
 * Describes the slowly changing part of an announcement.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param address host:port where it serves
 * @param kind model engine or plain service
 * @param endpointClass its declared class
 * @param priceClass whether its host is reclaimable
 * @param services what it has loaded
 * @param capabilities optional abilities
 * @param state readiness in its own words
 */
public record EndpointDescription(
        String address,
        EndpointKind kind,
        EndpointClassId endpointClass,
        PriceClass priceClass,
        List<ServedVersion> services,
        Set<Capability> capabilities,
        EndpointState state) {

    /** Checks that no part is null and copies the collections. */
    public EndpointDescription {
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(kind, "kind must not be null");
        Objects.requireNonNull(endpointClass, "endpointClass must not be null");
        Objects.requireNonNull(priceClass, "priceClass must not be null");
        Objects.requireNonNull(state, "state must not be null");
        services = List.copyOf(services);
        capabilities = Set.copyOf(capabilities);
    }
}
