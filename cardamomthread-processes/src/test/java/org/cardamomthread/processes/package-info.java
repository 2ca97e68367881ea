/** Tests of node processes over loopback connections. */
package org.cardamomthread.processes;
