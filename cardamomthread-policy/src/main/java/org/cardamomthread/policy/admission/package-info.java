/** Limits, fair shares, retries, hedging, preemption and the release of patient work. */
package org.cardamomthread.policy.admission;
