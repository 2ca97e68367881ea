package org.cardamomthread.command.client;

import org.cardamomthread.configuration.document.NetworkAddress;

/** Sends a single HTTP request to one node. Implementations are confined to one thread. */
public interface OperatorTransport extends AutoCloseable {

    /**
     * Sends a request once, without retries.
     *
     * @param server the operator address of a node
     * @param method the HTTP method
     * @param path the absolute path of the request
     * @param body the JSON body, empty for none
     * @return the response, whatever its status
     * @throws TransportException if no complete JSON response is received
     */
    OperatorResponse send(NetworkAddress server, String method, String path, String body)
            throws TransportException;

    @Override
    void close();
}
