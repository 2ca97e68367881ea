package org.cardamomthread.configuration.settings;

import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Describes logs and traces.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param logFormat form of log lines
 * @param otlpAddress address of an OTLP receiver, or empty for none
 */
public record TelemetrySettings(LogFormat logFormat, Optional<NetworkAddress> otlpAddress) {
    /** Checks the arguments. */
    public TelemetrySettings {
        Objects.requireNonNull(logFormat, "logFormat must not be null");
        Objects.requireNonNull(otlpAddress, "otlpAddress must not be null");
    }
}
