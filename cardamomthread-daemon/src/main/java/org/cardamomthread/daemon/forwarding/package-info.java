/**
 * Forwards callers' requests as they are: routes, keys and quotas, choice of an endpoint, attempts,
 * and the whole answer back.
 *
 * <p>Everything in this package runs on one event loop.
 */
package org.cardamomthread.daemon.forwarding;
