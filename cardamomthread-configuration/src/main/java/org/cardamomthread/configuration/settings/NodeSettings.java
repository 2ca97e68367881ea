package org.cardamomthread.configuration.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the settings of one node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param nodeId id of this node
 * @param dataCentre data centre of this node
 * @param listeners addresses on which it listens
 * @param dataFolder folder for its state, or empty on a node without a disk
 * @param peers nodes known at the start, this one included
 * @param bootstrapVoters first voters of each group
 * @param secrets its secrets
 * @param limits bounds for callers
 * @param leaseMs duration of a lease
 * @param heartbeatMs time between two heartbeats
 * @param shutdownTimeoutMs longest time to finish requests on shutdown
 * @param drainDelayMs time between not ready and the close of the listeners
 * @param platform the cloud API, or empty for none
 * @param telemetry logs and traces
 */
public record NodeSettings(
        NodeId nodeId,
        DataCentreId dataCentre,
        Listeners listeners,
        Optional<Path> dataFolder,
        List<PeerSettings> peers,
        BootstrapVoters bootstrapVoters,
        NodeSecrets secrets,
        RequestLimits limits,
        long leaseMs,
        long heartbeatMs,
        long shutdownTimeoutMs,
        long drainDelayMs,
        Optional<PlatformSettings> platform,
        TelemetrySettings telemetry) {
    /** Checks the arguments. */
    public NodeSettings {
        Objects.requireNonNull(nodeId, "nodeId must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(listeners, "listeners must not be null");
        Objects.requireNonNull(dataFolder, "dataFolder must not be null");
        Objects.requireNonNull(bootstrapVoters, "bootstrapVoters must not be null");
        Objects.requireNonNull(secrets, "secrets must not be null");
        Objects.requireNonNull(limits, "limits must not be null");
        Objects.requireNonNull(platform, "platform must not be null");
        Objects.requireNonNull(telemetry, "telemetry must not be null");
        peers = List.copyOf(peers);
    }

    /**
     * Tells whether this node may vote.
     *
     * @return true if its entry among the peers says so
     */
    public boolean isVoter() {
        return peers.stream().anyMatch(peer -> peer.id().equals(nodeId) && peer.voter());
    }
}
