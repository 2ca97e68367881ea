/** Tests of node processes that discover each other through seed addresses on loopback. */
package org.cardamomthread.processes.fleet;
