/** Authenticated links between nodes. */
package org.cardamomthread.transport;
