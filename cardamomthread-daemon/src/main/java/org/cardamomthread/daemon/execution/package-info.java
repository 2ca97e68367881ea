/** Runs the replicated state of execution: claims of calls that may not be repeated, and jobs. */
package org.cardamomthread.daemon.execution;
