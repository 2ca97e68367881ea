package org.cardamomthread.daemon.operator;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Describes a node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the node
 * @param dataCentre its data centre
 * @param reachable true if it was heard within its lease
 * @param revision the last revision it is known to have in force
 * @param confirmed true if that is the revision of the answering node or a later one
 */
public record NodeStatus(
        NodeId id, DataCentreId dataCentre, boolean reachable, long revision, boolean confirmed) {}
