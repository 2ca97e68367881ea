package org.cardamomthread.daemon.fleet;

import org.cardamomthread.daemon.http.ListenException;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.transport.TransportStartException;

/** Is a node that joins by seeds. Safe for use by several threads. */
public interface FleetNode extends AutoCloseable {

    /**
     * Begins to listen and to take part in the system.
     *
     * @throws ListenException if an address cannot be bound
     * @throws TransportStartException if the peers' address cannot be bound
     * @throws StorageException if the data folder cannot be used
     */
    void start() throws ListenException, TransportStartException, StorageException;

    /**
     * Stops without cutting a request.
     *
     * @return false if requests were still open at the end of the stated time
     */
    boolean stopGracefully();

    @Override
    void close();
}
