/** Placement of requests on endpoints by the expected time to the first token. */
package org.cardamomthread.policy.placement;
