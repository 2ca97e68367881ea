package org.cardamomthread.membership.node;

/** Enumerates the liveness states of another node, as observed by this node. */
public enum NodeState {
    /** Known only from the settings; no heartbeat was received yet. */
    UNKNOWN,
    /** Its heartbeat advanced within the suspicion limit. */
    ALIVE,
    /** Silent for longer than the suspicion limit, but still treated as usable. */
    SUSPECT,
    /** Silent for so long that other nodes take over its work. */
    DEAD,
    /** Announced that it is leaving the cluster. */
    LEFT
}
