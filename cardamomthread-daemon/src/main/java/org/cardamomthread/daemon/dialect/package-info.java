/**
 * The interface that a platform adapter implements. An adapter decodes the platform's messages into
 * typed values and encodes the messages that the system sends. Adapters contain no decisions and no
 * state.
 */
package org.cardamomthread.daemon.dialect;
