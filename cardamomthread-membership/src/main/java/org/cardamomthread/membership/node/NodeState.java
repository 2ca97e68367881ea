package org.cardamomthread.membership.node;

/** States how far a node can be relied on, as seen from here. */
public enum NodeState {
    /** Known from settings only; nothing was heard from it yet. */
    UNKNOWN,
    /** Its heartbeat advanced recently. */
    ALIVE,
    /** Silent for longer than usual. */
    SUSPECT,
    /** Silent for so long that its duties pass to others. */
    DEAD,
    /** Announced that it leaves. */
    LEFT
}
