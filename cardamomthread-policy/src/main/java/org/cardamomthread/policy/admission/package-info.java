/**
 * Concurrency limits, fair queueing, retries, hedging, preemption and the start of deferrable jobs.
 */
package org.cardamomthread.policy.admission;
