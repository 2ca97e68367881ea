/** Metrics, tracing and logging of a node. */
package org.cardamomthread.daemon.telemetry;
