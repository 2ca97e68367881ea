package org.cardamomthread.configuration.settings;

import java.util.Objects;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Describes how to reach the cloud API.
 *
 * <p>Immutable and thread-safe.
 *
 * @param address address of the cloud API
 * @param pollMs interval between polls for notices and prices, in milliseconds
 */
public record PlatformSettings(NetworkAddress address, long pollMs) {
    /** Validates the components. */
    public PlatformSettings {
        Objects.requireNonNull(address, "address must not be null");
    }
}
