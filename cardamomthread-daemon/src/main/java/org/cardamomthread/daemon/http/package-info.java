/**
 * HTTP/1.1 server: connections, request limits, complete and streamed responses, problem documents
 * and graceful shutdown.
 */
package org.cardamomthread.daemon.http;
