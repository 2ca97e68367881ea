/**
 * Authenticated links between nodes.
 *
 * <p>Each node keeps at most one outbound connection to a peer, which carries its own messages and
 * requests and the responses to them.
 */
package org.cardamomthread.transport;
