/** The operators' HTTP API, free of transport, against a narrow control plane. */
package org.cardamomthread.daemon.operator;
