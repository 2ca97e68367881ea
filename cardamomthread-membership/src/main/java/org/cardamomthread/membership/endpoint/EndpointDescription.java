package org.cardamomthread.membership.endpoint;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.cardamomthread.core.id.EndpointClassId;

/**
 * Holds the properties of an endpoint that rarely change.
 *
 * <p>Immutable and thread-safe.
 *
 * @param address the host:port at which the endpoint accepts requests
 * @param kind whether it serves a language model or an ordinary application
 * @param endpointClass the endpoint class declared in the configuration
 * @param priceClass whether the platform may reclaim its host
 * @param services the service versions that it has loaded
 * @param capabilities the optional features that it supports
 * @param state the readiness that the endpoint reports
 */
public record EndpointDescription(
        String address,
        EndpointKind kind,
        EndpointClassId endpointClass,
        PriceClass priceClass,
        List<ServedVersion> services,
        Set<Capability> capabilities,
        EndpointState state) {

    /** Rejects null components and copies the collections. */
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
