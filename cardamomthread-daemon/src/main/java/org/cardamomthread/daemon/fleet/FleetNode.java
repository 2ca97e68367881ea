package org.cardamomthread.daemon.fleet;

import org.cardamomthread.daemon.http.ListenerBindException;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.transport.TransportStartException;

/** Represents a node that joins the system through seed nodes. Implementations are thread-safe. */
public interface FleetNode extends AutoCloseable {

    /**
     * Opens the listeners and joins the system.
     *
     * @throws ListenerBindException if a listen address cannot be bound
     * @throws TransportStartException if the address for other nodes cannot be bound
     * @throws StorageException if the data folder cannot be used
     */
    void start() throws ListenerBindException, TransportStartException, StorageException;

    /**
     * Stops accepting requests, waits for open ones to finish, and closes the node.
     *
     * @return false if requests were still open when the shutdown timeout ended
     */
    boolean stopGracefully();

    @Override
    void close();
}
