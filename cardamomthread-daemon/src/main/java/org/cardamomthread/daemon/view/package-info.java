/**
 * The view by which gateways route and admit requests: the traffic state, the endpoints and the
 * gateway's quota shares. Gateways poll it from the leader of the control nodes and may use it
 * until their view lease expires.
 */
package org.cardamomthread.daemon.view;
