/**
 * The controllers that run only on the leader, under the lease of the replicated log: usage
 * reports, autoscaling, and the completion or rollback of version moves.
 */
package org.cardamomthread.daemon.duty;
