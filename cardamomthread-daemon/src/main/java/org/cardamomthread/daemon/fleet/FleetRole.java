package org.cardamomthread.daemon.fleet;

/** Names the roles of nodes that join by seeds. */
enum FleetRole {
    /** Forwards callers' requests. */
    GATEWAY,
    /** Keeps the replicated state, the register of endpoints and the duties. */
    CONTROL
}
