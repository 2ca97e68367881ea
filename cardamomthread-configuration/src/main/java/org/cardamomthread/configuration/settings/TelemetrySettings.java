package org.cardamomthread.configuration.settings;

import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Holds the settings of logs and traces.
 *
 * <p>Immutable and thread-safe.
 *
 * @param logFormat format of log lines
 * @param otlpAddress address of the OTLP receiver of traces, or empty if traces are not exported
 */
public record TelemetrySettings(LogFormat logFormat, Optional<NetworkAddress> otlpAddress) {
    /** Validates the components. */
    public TelemetrySettings {
        Objects.requireNonNull(logFormat, "logFormat must not be null");
        Objects.requireNonNull(otlpAddress, "otlpAddress must not be null");
    }
}
