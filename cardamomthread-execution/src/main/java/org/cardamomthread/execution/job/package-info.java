/** Durable jobs, which are kept in the replicated log until they are completed or failed. */
package org.cardamomthread.execution.job;
