/** Handling of the calls on a host that is being reclaimed. */
package org.cardamomthread.policy.reclaim;
