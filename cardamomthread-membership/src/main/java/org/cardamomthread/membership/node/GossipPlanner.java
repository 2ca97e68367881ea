package org.cardamomthread.membership.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;

/**
 * Schedules gossip rounds and chooses their targets and digests. <em>Local</em> nodes are those of
 * this node's data centre, <em>remote</em> nodes those of other data centres.
 *
 * <p>Invariant: heartbeats are sent to every local node once before any local node receives a
 * second one. Not thread-safe; the directory synchronizes access.
 */
final class GossipPlanner {

    private final NodeTable table;
    private final NodeDirectorySettings settings;
    private final RandomGenerator random;
    private List<NodeId> heartbeatOrder = List.of();
    private int heartbeatPosition;
    private long nextHeartbeatMs = Long.MIN_VALUE;
    private long nextDigestRoundMs = Long.MIN_VALUE;
    private long nextProbeMs = Long.MIN_VALUE;

    GossipPlanner(NodeTable table, NodeDirectorySettings settings, RandomGenerator random) {
        this.table = table;
        this.settings = settings;
        this.random = random;
    }

    /** Returns the next local nodes to send a heartbeat to, or none before the round is due. */
    List<NodeId> heartbeatTargets(long nowMs) {
        if (nowMs < nextHeartbeatMs) {
            return List.of();
        }
        nextHeartbeatMs = nowMs + settings.heartbeatIntervalMs();
        List<NodeId> targets = new ArrayList<>();
        for (int i = 0; i < settings.localFanOut(); i++) {
            if (heartbeatPosition >= heartbeatOrder.size()) {
                if (!targets.isEmpty()) {
                    break;
                }
                shuffleHeartbeatOrder(nowMs);
            }
            if (heartbeatPosition < heartbeatOrder.size()) {
                targets.add(heartbeatOrder.get(heartbeatPosition++));
            }
        }
        return targets;
    }

    /** Returns one random local node to send digests to, or none before the next round is due. */
    List<NodeId> localDigestTargets(long nowMs) {
        if (nowMs < nextDigestRoundMs) {
            return List.of();
        }
        return chooseRandom(
                table.recordsInState(nowMs, true, NodeState.ALIVE, NodeState.SUSPECT), 1);
    }

    /**
     * Returns the remote nodes to send digests to, and a silent node when a probe is due. Starts
     * the next digest round, so {@link #localDigestTargets} must be called before.
     */
    List<NodeId> remoteDigestTargets(long nowMs) {
        List<NodeId> targets = new ArrayList<>();
        if (nowMs >= nextDigestRoundMs) {
            nextDigestRoundMs = nowMs + settings.remoteIntervalMs();
            targets.addAll(randomRemoteNodes(nowMs, settings.remoteFanOutFor(table.all().size())));
        }
        if (nowMs >= nextProbeMs) {
            nextProbeMs = nowMs + settings.probeIntervalMs();
            targets.addAll(randomSilentNode(nowMs));
        }
        return targets;
    }

    List<NodeId> randomRemoteNodes(long nowMs, int count) {
        return chooseRandom(
                table.recordsInState(
                        nowMs, false, NodeState.ALIVE, NodeState.SUSPECT, NodeState.UNKNOWN),
                count);
    }

    /** Returns the digests to send to a remote node. */
    List<NodeDigest> digestsForRemote(long nowMs) {
        List<NodeRecord> known =
                table.recordsInState(nowMs, true, NodeState.ALIVE, NodeState.SUSPECT);
        known.addAll(table.recordsInState(nowMs, false, NodeState.ALIVE, NodeState.SUSPECT));
        return selectDigests(known);
    }

    /**
     * Returns the digests to send to a local node. They leave out local nodes if not all fit into a
     * message, because the receiver gets heartbeats from those directly.
     */
    List<NodeDigest> digestsForLocal(long nowMs) {
        if (table.all().size() <= settings.digestsPerMessage()) {
            return digestsForRemote(nowMs);
        }
        return selectDigests(
                table.recordsInState(nowMs, false, NodeState.ALIVE, NodeState.SUSPECT));
    }

    /**
     * Selects digests up to the limit of one message: half at random, half by the latest heartbeat.
     */
    private List<NodeDigest> selectDigests(List<NodeRecord> known) {
        shuffle(known);
        int limit = settings.digestsPerMessage();
        if (known.size() > limit) {
            known.subList(limit / 2, known.size())
                    .sort(Comparator.comparingLong(NodeRecord::lastHeardMs).reversed());
            return digestsOf(known.subList(0, limit));
        }
        return digestsOf(known);
    }

    private static List<NodeDigest> digestsOf(List<NodeRecord> records) {
        return records.stream().map(NodeRecord::digest).toList();
    }

    private void shuffleHeartbeatOrder(long nowMs) {
        List<NodeId> order = new ArrayList<>();
        for (NodeRecord record :
                table.recordsInState(
                        nowMs, true, NodeState.ALIVE, NodeState.SUSPECT, NodeState.UNKNOWN)) {
            order.add(record.entry().id());
        }
        shuffle(order);
        heartbeatOrder = order;
        heartbeatPosition = 0;
    }

    private List<NodeId> randomSilentNode(long nowMs) {
        List<NodeRecord> silent =
                table.recordsInState(nowMs, true, NodeState.DEAD, NodeState.UNKNOWN);
        silent.addAll(table.recordsInState(nowMs, false, NodeState.DEAD, NodeState.UNKNOWN));
        return chooseRandom(silent, 1);
    }

    private List<NodeId> chooseRandom(List<NodeRecord> candidates, int count) {
        List<NodeId> chosen = new ArrayList<>();
        List<NodeRecord> remaining = new ArrayList<>(candidates);
        while (chosen.size() < count && !remaining.isEmpty()) {
            int index = random.nextInt(remaining.size());
            chosen.add(remaining.get(index).entry().id());
            remaining.set(index, remaining.get(remaining.size() - 1));
            remaining.remove(remaining.size() - 1);
        }
        return chosen;
    }

    private void shuffle(List<?> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
