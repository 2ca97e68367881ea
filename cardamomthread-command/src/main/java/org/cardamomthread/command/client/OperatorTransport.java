package org.cardamomthread.command.client;

import org.cardamomthread.configuration.document.NetworkAddress;

/** Sends one HTTP request to one node. Implementations are confined to one thread. */
public interface OperatorTransport extends AutoCloseable {

    /**
     * Sends a request once.
     *
     * @param server the operators' address of a node
     * @param method the method
     * @param path the path
     * @param body the body, empty for none
     * @return the answer
     * @throws TransportException if there is no whole answer
     */
    OperatorAnswer send(NetworkAddress server, String method, String path, String body)
            throws TransportException;

    @Override
    void close();
}
