package org.cardamomthread.daemon.start;

import org.cardamomthread.daemon.http.ListenerBindException;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.transport.TransportStartException;

/**
 * Represents a node that a process runs.
 *
 * <p>Invariant: a node whose start failed holds no address and no data folder once it is closed, so
 * that another one can be started in its place. Implementations are thread-safe.
 */
public interface StartableNode extends AutoCloseable {

    /**
     * Binds all addresses, then opens the data folder, then joins the system.
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
