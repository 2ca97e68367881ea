/** Threads of a node that are not event loops. */
package org.cardamomthread.daemon.concurrent;
