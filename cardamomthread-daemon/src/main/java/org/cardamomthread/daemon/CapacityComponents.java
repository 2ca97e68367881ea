package org.cardamomthread.daemon;

import java.util.Optional;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.configuration.settings.PlatformSettings;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.capacity.HttpPlatformClient;
import org.cardamomthread.daemon.capacity.PlatformClient;
import org.cardamomthread.daemon.capacity.PlatformEndpointPricing;
import org.cardamomthread.daemon.capacity.ReclaimNoticePoller;
import org.cardamomthread.daemon.capacity.ReclaimNoticeRegistry;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.gateway.EndpointPricing;
import org.cardamomthread.daemon.gateway.FixedEndpointPricing;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.transport.PeerTransport;

/**
 * Creates the components that read reclaim notices and prices from the platform, if the settings
 * configure one.
 */
final class CapacityComponents implements AutoCloseable {

    private final Optional<PlatformSettings> settings;
    private final Optional<PlatformClient> platform;
    private final ReclaimNoticeRegistry reclaimNotices;
    private final EndpointPricing defaultPricing = new FixedEndpointPricing();
    private final Optional<PlatformEndpointPricing> platformPricing;

    CapacityComponents(NodeSettings settings, TimeSource timeSource) {
        this.settings = settings.platform();
        reclaimNotices = new ReclaimNoticeRegistry(timeSource);
        platform =
                this.settings.map(
                        configured -> new HttpPlatformClient(configured.address().toString()));
        platformPricing =
                platform.map(client -> new PlatformEndpointPricing(client, defaultPricing));
    }

    ReclaimNoticeRegistry getReclaimNotices() {
        return reclaimNotices;
    }

    EndpointPricing getPricing() {
        return platformPricing.isPresent() ? platformPricing.get() : defaultPricing;
    }

    void start(NodeDirectory directory, PeerTransport transport, ControlThread control) {
        if (platform.isEmpty()) {
            return;
        }
        long pollMs = settings.orElseThrow().pollMs();
        new ReclaimNoticePoller(platform.get(), reclaimNotices, directory, transport, control)
                .start(pollMs);
        platformPricing.orElseThrow().start(control, pollMs);
    }

    @Override
    public void close() {
        platform.ifPresent(PlatformClient::close);
    }
}
