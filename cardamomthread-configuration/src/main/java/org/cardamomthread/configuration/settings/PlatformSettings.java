package org.cardamomthread.configuration.settings;

import java.util.Objects;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Describes how to reach the cloud API.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param address address of the cloud API
 * @param pollMs time between two polls for notices and prices
 */
public record PlatformSettings(NetworkAddress address, long pollMs) {
    /** Checks the arguments. */
    public PlatformSettings {
        Objects.requireNonNull(address, "address must not be null");
    }
}
