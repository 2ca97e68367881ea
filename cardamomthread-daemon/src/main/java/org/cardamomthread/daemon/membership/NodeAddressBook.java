package org.cardamomthread.daemon.membership;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.node.NodeView;
import org.cardamomthread.transport.PeerTransport;

/** Passes the addresses of nodes to the transport as the directory learns them. Not thread-safe. */
final class NodeAddressBook {

    private final PeerTransport transport;
    private final Map<NodeId, String> knownAddresses = new HashMap<>();

    NodeAddressBook(PeerTransport transport) {
        this.transport = transport;
    }

    void update(Collection<NodeView> nodes) {
        for (NodeView node : nodes) {
            String address = node.entry().addresses().peerAddress();
            if (!address.equals(knownAddresses.put(node.entry().id(), address))) {
                InetSocketAddress target = NetworkAddress.parse(address).toSocketAddress();
                transport.setAddress(node.entry().id(), target);
            }
        }
    }
}
