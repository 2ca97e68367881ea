/** Tests of nodes that join by seeds, as processes on loopback addresses. */
package org.cardamomthread.processes.fleet;
