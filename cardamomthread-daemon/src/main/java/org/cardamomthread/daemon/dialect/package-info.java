/**
 * What an adapter to a platform supplies: it decodes the platform's messages into typed values and
 * encodes the system's own. Adapters decide nothing and keep no state.
 */
package org.cardamomthread.daemon.dialect;
