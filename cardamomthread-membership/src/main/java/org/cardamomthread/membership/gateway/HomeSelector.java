package org.cardamomthread.membership.gateway;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.node.NodeDirectory;

/**
 * Chooses the homes to which a gateway sends demands.
 *
 * <p>The nodes of each data centre form a ring in the order of their ids. In its own data centre a
 * gateway uses its own node and the next nodes of the ring, so that every home serves as many
 * gateways as a gateway uses homes. From the other data centres, in an order that depends on its
 * id, it takes one home each, then a second one each, and so on up to the limit. The cost per
 * gateway therefore does not grow with the number of nodes. Stateless, and thread-safe if the
 * directory is.
 */
final class HomeSelector {

    private HomeSelector() {}

    static List<NodeId> choose(NodeDirectory directory, CreditPoolSettings settings) {
        NodeId self = directory.self().id();
        DataCentreId localDataCentre = directory.self().dataCentre();
        List<NodeId> ring = directory.usableNodes(localDataCentre);
        List<NodeId> chosen =
                new ArrayList<>(
                        takeFrom(ring, Math.max(0, ring.indexOf(self)), settings.localHomes()));
        chosen.addAll(chooseRemote(directory, self, localDataCentre, settings.remoteHomes()));
        return chosen;
    }

    private static List<NodeId> chooseRemote(
            NodeDirectory directory, NodeId self, DataCentreId localDataCentre, int limit) {
        List<List<NodeId>> rings = new ArrayList<>();
        List<DataCentreId> remaining = new ArrayList<>(directory.dataCentres());
        remaining.remove(localDataCentre);
        int largestRingSize = 0;
        while (!remaining.isEmpty()) {
            DataCentreId next =
                    RendezvousHash.choose(self.value(), remaining, DataCentreId::value)
                            .orElseThrow();
            remaining.remove(next);
            List<NodeId> ring = directory.usableNodes(next);
            int start = Math.floorMod(self.value().hashCode(), Math.max(1, ring.size()));
            rings.add(takeFrom(ring, start, limit));
            largestRingSize = Math.max(largestRingSize, ring.size());
        }
        List<NodeId> chosen = new ArrayList<>();
        for (int round = 0; round < largestRingSize && chosen.size() < limit; round++) {
            for (List<NodeId> ring : rings) {
                if (round < ring.size() && chosen.size() < limit) {
                    chosen.add(ring.get(round));
                }
            }
        }
        return chosen;
    }

    private static List<NodeId> takeFrom(List<NodeId> ring, int start, int count) {
        List<NodeId> taken = new ArrayList<>();
        for (int i = 0; i < Math.min(count, ring.size()); i++) {
            taken.add(ring.get((start + i) % ring.size()));
        }
        return taken;
    }
}
