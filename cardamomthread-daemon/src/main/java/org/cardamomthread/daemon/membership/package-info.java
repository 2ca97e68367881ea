/** Runs membership on a node: heartbeats, endpoint homes and leased credits. */
package org.cardamomthread.daemon.membership;
