/** Decides what happens to the work on a host that is being reclaimed. */
package org.cardamomthread.policy.reclaim;
