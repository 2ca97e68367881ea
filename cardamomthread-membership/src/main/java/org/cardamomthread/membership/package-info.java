/** Cluster membership: node and endpoint liveness, endpoint homes and leased request credits. */
package org.cardamomthread.membership;
