/**
 * Gateways and control nodes that join the system through seed nodes: their settings, their
 * components and their life cycle.
 */
package org.cardamomthread.daemon.fleet;
