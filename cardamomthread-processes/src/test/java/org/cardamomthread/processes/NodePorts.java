package org.cardamomthread.processes;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The identity and the listener ports of one node.
 *
 * @param id the node id
 * @param dataCentre the data centre of the node
 * @param callers port for callers
 * @param endpoints port for endpoints
 * @param operators port for operators
 * @param peers port for other nodes
 */
record NodePorts(
        String id, String dataCentre, int callers, int endpoints, int operators, int peers) {

    static NodePorts allocate(String id, String dataCentre) throws IOException {
        List<Integer> ports = reservePorts(4);
        return new NodePorts(
                id, dataCentre, ports.get(0), ports.get(1), ports.get(2), ports.get(3));
    }

    /** Reserves ports for the lifetime of this process, see {@link Ports}. */
    static List<Integer> reservePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ports.add(Ports.reserve());
        }
        return ports;
    }
}
