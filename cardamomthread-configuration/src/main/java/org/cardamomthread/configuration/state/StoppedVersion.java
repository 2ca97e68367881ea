package org.cardamomthread.configuration.state;

import java.time.Instant;
import java.util.Objects;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Describes a version that must get no work.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param version the version
 * @param reason why it was stopped
 * @param at when it was stopped
 */
public record StoppedVersion(ServiceId service, VersionId version, String reason, Instant at) {

    /** Checks the arguments. */
    public StoppedVersion {
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(version, "version must not be null");
        Objects.requireNonNull(reason, "reason must not be null");
        Objects.requireNonNull(at, "at must not be null");
    }
}
