package org.cardamomthread.membership.endpoint;

import java.util.List;
import java.util.Objects;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Identifies a service version that an endpoint has loaded.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the id of the service
 * @param version the id of the loaded version
 * @param adapters the names of the model adapters loaded with it
 */
public record ServedVersion(ServiceId service, VersionId version, List<String> adapters) {

    /** Rejects a null service or version and copies the adapters. */
    public ServedVersion {
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(version, "version must not be null");
        adapters = List.copyOf(adapters);
    }
}
