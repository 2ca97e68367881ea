/**
 * The HTTP API for operators, independent of the HTTP server and of how the control plane is
 * implemented.
 */
package org.cardamomthread.daemon.operator;
