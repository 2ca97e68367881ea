/** Accepted patient work in the replicated log. */
package org.cardamomthread.execution.job;
