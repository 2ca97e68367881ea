/**
 * HTTP client for endpoints: sends single attempts, enforces progress timeouts, and verifies that a
 * response is complete and belongs to its request.
 */
package org.cardamomthread.daemon.dispatch;
