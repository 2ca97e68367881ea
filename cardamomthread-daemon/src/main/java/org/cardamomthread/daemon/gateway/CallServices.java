package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.time.TimeSource;

/**
 * Groups what every call works with. Immutable and safe for use by several threads.
 *
 * @param placement finds endpoints
 * @param runner sends attempts
 * @param retryPolicy bounds further attempts
 * @param timeSource the node's clock
 */
record CallServices(
        Placement placement,
        AttemptRunner runner,
        RetryPolicy retryPolicy,
        TimeSource timeSource) {}
