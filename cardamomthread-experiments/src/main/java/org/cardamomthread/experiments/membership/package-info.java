/** Measurements of gossip and credits. */
package org.cardamomthread.experiments.membership;
