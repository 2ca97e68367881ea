/**
 * Endpoint homes. The home of an endpoint is the node that collects its announcements and grants
 * credits, that is, leased permissions to have requests in flight there, to the gateways.
 */
package org.cardamomthread.membership.home;
