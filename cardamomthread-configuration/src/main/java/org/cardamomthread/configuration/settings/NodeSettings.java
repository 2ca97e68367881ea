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
 * <p>Immutable and thread-safe.
 *
 * @param nodeId id of this node
 * @param dataCentre data centre of this node
 * @param listeners addresses on which this node listens
 * @param dataFolder directory for persistent state, or empty on a node without a disk
 * @param peers nodes known at startup, including this one
 * @param bootstrapVoters initial voters of each replication group
 * @param secrets secrets by which nodes, endpoints and operators authenticate
 * @param limits limits on requests of callers
 * @param leaseMs duration of a lease, in milliseconds
 * @param heartbeatMs interval between heartbeats, in milliseconds; at most half of {@code leaseMs}
 * @param shutdownTimeoutMs maximum time to finish requests on shutdown, in milliseconds
 * @param drainDelayMs delay on shutdown between reporting not ready and closing the listeners, in
 *     milliseconds
 * @param platform access to the cloud API, or empty if there is none
 * @param telemetry settings of logs and traces
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
    /** Validates the components. */
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
     * Returns whether this node may vote in replication groups.
     *
     * @return true if the entry of this node in {@code peers} is marked as a voter
     */
    public boolean isVoter() {
        return peers.stream().anyMatch(peer -> peer.id().equals(nodeId) && peer.voter());
    }
}
