/**
 * Serves callers: authentication, limits, choice of an endpoint, relay of whole answers, and the
 * true statement of what became of a call.
 */
package org.cardamomthread.daemon.gateway;
