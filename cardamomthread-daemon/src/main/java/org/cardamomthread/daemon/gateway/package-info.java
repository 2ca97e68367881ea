/**
 * Serves callers: authentication, concurrency limits, endpoint selection, retries, and relaying of
 * responses. A caller is always informed whether its call was run, was not run, or may have been
 * run.
 */
package org.cardamomthread.daemon.gateway;
