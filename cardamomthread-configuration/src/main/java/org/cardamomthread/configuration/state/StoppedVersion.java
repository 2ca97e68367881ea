package org.cardamomthread.configuration.state;

import java.time.Instant;
import java.util.Objects;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Describes a stopped version, which must not receive work.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service id of the service
 * @param version the stopped version
 * @param reason why the version was stopped
 * @param at when the version was stopped
 */
public record StoppedVersion(ServiceId service, VersionId version, String reason, Instant at) {

    /** Validates the components. */
    public StoppedVersion {
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(version, "version must not be null");
        Objects.requireNonNull(reason, "reason must not be null");
        Objects.requireNonNull(at, "at must not be null");
    }
}
