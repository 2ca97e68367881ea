package org.cardamomthread.membership.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;

/**
 * Chooses whom to write to and what to tell.
 *
 * <p>Invariant: every local node is written to before any is written to twice. Not safe for use by
 * several threads; its directory guards it.
 */
final class GossipPlan {

    private final NodeTable table;
    private final NodeDirectorySettings settings;
    private final RandomGenerator random;
    private List<NodeId> localOrder = List.of();
    private int localPosition;
    private long nextLocalMs = Long.MIN_VALUE;
    private long nextRemoteMs = Long.MIN_VALUE;
    private long nextProbeMs = Long.MIN_VALUE;

    GossipPlan(NodeTable table, NodeDirectorySettings settings, RandomGenerator random) {
        this.table = table;
        this.settings = settings;
        this.random = random;
    }

    List<NodeId> localTargets(long nowMs) {
        if (nowMs < nextLocalMs) {
            return List.of();
        }
        nextLocalMs = nowMs + settings.heartbeatIntervalMs();
        List<NodeId> targets = new ArrayList<>();
        for (int i = 0; i < settings.localFanOut(); i++) {
            if (localPosition >= localOrder.size()) {
                if (!targets.isEmpty()) {
                    break;
                }
                reorderLocal(nowMs);
            }
            if (localPosition < localOrder.size()) {
                targets.add(localOrder.get(localPosition++));
            }
        }
        return targets;
    }

    /** Returns a local node to tell of others, or none before the next round. */
    List<NodeId> localDigestTargets(long nowMs) {
        if (nowMs < nextRemoteMs) {
            return List.of();
        }
        return choose(table.inState(nowMs, true, NodeState.ALIVE, NodeState.SUSPECT), 1);
    }

    /** Returns nodes elsewhere and silent ones to write to; begins the next round. */
    List<NodeId> remoteTargets(long nowMs) {
        List<NodeId> targets = new ArrayList<>();
        if (nowMs >= nextRemoteMs) {
            nextRemoteMs = nowMs + settings.remoteIntervalMs();
            targets.addAll(randomRemote(nowMs, settings.remoteFanOutFor(table.all().size())));
        }
        if (nowMs >= nextProbeMs) {
            nextProbeMs = nowMs + settings.probeIntervalMs();
            targets.addAll(silentNode(nowMs));
        }
        return targets;
    }

    List<NodeId> randomRemote(long nowMs, int count) {
        return choose(
                table.inState(nowMs, false, NodeState.ALIVE, NodeState.SUSPECT, NodeState.UNKNOWN),
                count);
    }

    /** Returns the digests to tell a node elsewhere. */
    List<NodeDigest> digests(long nowMs) {
        List<NodeRecord> known = table.inState(nowMs, true, NodeState.ALIVE, NodeState.SUSPECT);
        known.addAll(table.inState(nowMs, false, NodeState.ALIVE, NodeState.SUSPECT));
        return select(known);
    }

    /**
     * Returns the digests to tell a local node, which hears of other local ones from themselves.
     */
    List<NodeDigest> digestsForLocal(long nowMs) {
        if (table.all().size() <= settings.digestsPerMessage()) {
            return digests(nowMs);
        }
        return select(table.inState(nowMs, false, NodeState.ALIVE, NodeState.SUSPECT));
    }

    /** Selects half the freshest, half any, as many as a message takes. */
    private List<NodeDigest> select(List<NodeRecord> known) {
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

    private void reorderLocal(long nowMs) {
        List<NodeId> order = new ArrayList<>();
        for (NodeRecord record :
                table.inState(nowMs, true, NodeState.ALIVE, NodeState.SUSPECT, NodeState.UNKNOWN)) {
            order.add(record.entry().id());
        }
        shuffle(order);
        localOrder = order;
        localPosition = 0;
    }

    private List<NodeId> silentNode(long nowMs) {
        List<NodeRecord> silent = table.inState(nowMs, true, NodeState.DEAD, NodeState.UNKNOWN);
        silent.addAll(table.inState(nowMs, false, NodeState.DEAD, NodeState.UNKNOWN));
        return choose(silent, 1);
    }

    private List<NodeId> choose(List<NodeRecord> candidates, int count) {
        List<NodeId> chosen = new ArrayList<>();
        List<NodeRecord> left = new ArrayList<>(candidates);
        while (chosen.size() < count && !left.isEmpty()) {
            int index = random.nextInt(left.size());
            chosen.add(left.get(index).entry().id());
            left.set(index, left.get(left.size() - 1));
            left.remove(left.size() - 1);
        }
        return chosen;
    }

    private void shuffle(List<?> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }
}
