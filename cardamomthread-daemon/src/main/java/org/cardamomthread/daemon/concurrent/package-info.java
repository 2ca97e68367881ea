/** The threads of a node besides its event loops. */
package org.cardamomthread.daemon.concurrent;
