package org.cardamomthread.daemon.operator;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * The status of a node, as shown to operators.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the node
 * @param dataCentre its data centre
 * @param reachable true if a heartbeat of the node was received recently
 * @param revision the last configuration revision that is known to be active on it
 * @param confirmed true if that revision is at least the one of the answering node
 */
public record NodeStatus(
        NodeId id, DataCentreId dataCentre, boolean reachable, long revision, boolean confirmed) {}
