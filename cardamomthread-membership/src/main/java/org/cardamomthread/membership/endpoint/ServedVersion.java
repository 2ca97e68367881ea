package org.cardamomthread.membership.endpoint;

import java.util.List;
import java.util.Objects;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Names a version of a service that an endpoint has loaded.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param version the version
 * @param adapters loaded adapters
 */
public record ServedVersion(ServiceId service, VersionId version, List<String> adapters) {

    /** Copies the adapters. */
    public ServedVersion {
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(version, "version must not be null");
        adapters = List.copyOf(adapters);
    }
}
