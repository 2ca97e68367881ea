package org.cardamomthread.daemon.fleet;

/** Enumerates the roles of nodes that join through seed nodes. */
enum FleetRole {
    /** Forwards client requests to endpoints. */
    GATEWAY,
    /**
     * Stores the replicated state, maintains the endpoint registry and, as the leader, runs the
     * controllers.
     */
    CONTROL
}
