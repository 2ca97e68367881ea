package org.cardamomthread.membership.gateway;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.node.NodeDirectory;

/**
 * Chooses the homes that a gateway works with.
 *
 * <p>Nodes of a data centre form a ring in the order of their ids. A gateway takes itself and the
 * next ones of its own ring, so that each home there serves as many gateways as a gateway uses
 * homes. Of other data centres it takes one home each, in an order of its own, and then a second
 * one, up to its bound. The cost of a gateway therefore does not grow with the number of nodes.
 * Stateless; as safe for several threads as the directory.
 */
final class HomeSubset {

    private HomeSubset() {}

    static List<NodeId> choose(NodeDirectory directory, CreditPoolSettings settings) {
        NodeId self = directory.self().id();
        DataCentreId own = directory.self().dataCentre();
        List<NodeId> ring = directory.usableNodes(own);
        List<NodeId> chosen =
                new ArrayList<>(take(ring, Math.max(0, ring.indexOf(self)), settings.localHomes()));
        chosen.addAll(remote(directory, self, own, settings.remoteHomes()));
        return chosen;
    }

    private static List<NodeId> remote(
            NodeDirectory directory, NodeId self, DataCentreId own, int limit) {
        List<List<NodeId>> rings = new ArrayList<>();
        List<DataCentreId> left = new ArrayList<>(directory.dataCentres());
        left.remove(own);
        int largest = 0;
        while (!left.isEmpty()) {
            DataCentreId next =
                    RendezvousHash.choose(self.value(), left, DataCentreId::value).orElseThrow();
            left.remove(next);
            List<NodeId> ring = directory.usableNodes(next);
            int start = Math.floorMod(self.value().hashCode(), Math.max(1, ring.size()));
            rings.add(take(ring, start, limit));
            largest = Math.max(largest, ring.size());
        }
        List<NodeId> chosen = new ArrayList<>();
        for (int round = 0; round < largest && chosen.size() < limit; round++) {
            for (List<NodeId> ring : rings) {
                if (round < ring.size() && chosen.size() < limit) {
                    chosen.add(ring.get(round));
                }
            }
        }
        return chosen;
    }

    private static List<NodeId> take(List<NodeId> ring, int start, int count) {
        List<NodeId> taken = new ArrayList<>();
        for (int i = 0; i < Math.min(count, ring.size()); i++) {
            taken.add(ring.get((start + i) % ring.size()));
        }
        return taken;
    }
}
