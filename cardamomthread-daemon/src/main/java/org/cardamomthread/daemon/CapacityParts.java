package org.cardamomthread.daemon;

import java.util.Optional;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.configuration.settings.PlatformSettings;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.capacity.HttpPlatformClient;
import org.cardamomthread.daemon.capacity.PlatformClient;
import org.cardamomthread.daemon.capacity.PlatformPriceBook;
import org.cardamomthread.daemon.capacity.PlatformWatch;
import org.cardamomthread.daemon.capacity.ReclaimRegister;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.gateway.ClassPriceBook;
import org.cardamomthread.daemon.gateway.PriceBook;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.transport.PeerTransport;

/** Assembles what follows the platform, if the settings name one. */
final class CapacityParts implements AutoCloseable {

    private final Optional<PlatformSettings> settings;
    private final Optional<PlatformClient> platform;
    private final ReclaimRegister register;
    private final PriceBook usualPrices = new ClassPriceBook();
    private final Optional<PlatformPriceBook> platformPrices;

    CapacityParts(NodeSettings settings, TimeSource timeSource) {
        this.settings = settings.platform();
        register = new ReclaimRegister(timeSource);
        platform = this.settings.map(named -> new HttpPlatformClient(named.address().toString()));
        platformPrices = platform.map(client -> new PlatformPriceBook(client, usualPrices));
    }

    ReclaimRegister getRegister() {
        return register;
    }

    PriceBook getPrices() {
        return platformPrices.isPresent() ? platformPrices.get() : usualPrices;
    }

    void start(NodeDirectory directory, PeerTransport transport, ControlThread control) {
        if (platform.isEmpty()) {
            return;
        }
        long pollMs = settings.orElseThrow().pollMs();
        new PlatformWatch(platform.get(), register, directory, transport, control).start(pollMs);
        platformPrices.orElseThrow().start(control, pollMs);
    }

    @Override
    public void close() {
        platform.ifPresent(PlatformClient::close);
    }
}
