/**
 * HTTP/1.1 server edge: connections, limits on what a peer can send, whole and streamed answers,
 * problem documents and graceful closing.
 */
package org.cardamomthread.daemon.http;
