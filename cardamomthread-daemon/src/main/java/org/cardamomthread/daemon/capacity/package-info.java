/** Reads reclaim notices and host prices from the platform. */
package org.cardamomthread.daemon.capacity;
