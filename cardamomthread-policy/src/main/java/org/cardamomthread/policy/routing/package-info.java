/** Selection of the endpoint that serves a request. */
package org.cardamomthread.policy.routing;
