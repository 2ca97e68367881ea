/** Chooses the endpoint for a request. */
package org.cardamomthread.policy.routing;
