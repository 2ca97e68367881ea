/**
 * Forwards client requests to endpoints: matches the route, checks the API key and the quota,
 * selects an endpoint, retries where this is safe, and relays the response.
 *
 * <p>All code in this package runs on a single event loop, so its state needs no synchronization.
 */
package org.cardamomthread.daemon.forwarding;
