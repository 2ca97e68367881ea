/**
 * Authenticated message transport between nodes.
 *
 * <p>Each node maintains at most one outbound connection to a peer. The connection carries the
 * node's own messages and requests, and the peer's responses to them.
 */
package org.cardamomthread.transport;
