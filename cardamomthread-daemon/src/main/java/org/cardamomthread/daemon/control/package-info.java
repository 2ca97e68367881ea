/** Runs the replicated groups on their voters and forwards commands and reads to the leaders. */
package org.cardamomthread.daemon.control;
