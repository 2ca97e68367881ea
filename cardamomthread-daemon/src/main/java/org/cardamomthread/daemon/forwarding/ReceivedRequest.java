package org.cardamomthread.daemon.forwarding;

import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.http.HttpExchange;

/**
 * Holds a client request that has been read but not admitted yet. Immutable.
 *
 * @param exchange the request and its response
 * @param head the metadata of the request
 * @param receivedMs when it was completely received, in monotonic milliseconds
 */
record ReceivedRequest(HttpExchange exchange, RequestHead head, long receivedMs) {}
