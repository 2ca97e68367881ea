/** Measurements of the replicated log. */
package org.cardamomthread.experiments.replication;
