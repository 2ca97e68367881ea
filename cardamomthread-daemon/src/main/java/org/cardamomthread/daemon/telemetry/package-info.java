/** Metrics, traces and the form of the log. */
package org.cardamomthread.daemon.telemetry;
