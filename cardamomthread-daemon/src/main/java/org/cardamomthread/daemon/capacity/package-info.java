/** Follows the platform: notices of reclaim and prices of hosts. */
package org.cardamomthread.daemon.capacity;
