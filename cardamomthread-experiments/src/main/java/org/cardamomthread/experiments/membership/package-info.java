/** Measurements of gossip and credit traffic. */
package org.cardamomthread.experiments.membership;
