/**
 * The gateway side of credits. A credit permits a gateway to have one request in flight at an
 * endpoint until the lease of its grant expires.
 */
package org.cardamomthread.membership.gateway;
