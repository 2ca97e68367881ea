/** The start and the end of a node's process: retries, exit codes, reload of settings. */
package org.cardamomthread.daemon.start;
