/** Nodes that join by seeds: gateways and control nodes, their settings and their assembly. */
package org.cardamomthread.daemon.fleet;
