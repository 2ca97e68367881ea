/**
 * The view that gateways serve by: the traffic state, the endpoints and this gateway's shares, read
 * from the leader of the control nodes under a lease.
 */
package org.cardamomthread.daemon.view;
