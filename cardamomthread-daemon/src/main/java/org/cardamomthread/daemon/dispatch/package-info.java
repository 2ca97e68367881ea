/**
 * HTTP client edge towards endpoints: one attempt a call, progress deadlines, and checks that the
 * answer is whole and belongs to the request.
 */
package org.cardamomthread.daemon.dispatch;
