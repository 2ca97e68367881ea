/**
 * Duties that one node performs at a time, under the lease of the replicated log: usage reports and
 * the judgement of version moves.
 */
package org.cardamomthread.daemon.duty;
