package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.time.TimeSource;

/**
 * Groups the components that every call uses. Immutable and thread-safe.
 *
 * @param placement reserves an endpoint for each attempt
 * @param dispatcher sends attempts to endpoints
 * @param retryPolicy limits retries
 * @param promptGuard keeps requests from endpoints that their prompts may crash
 * @param timeSource the node's clock
 */
record CallDependencies(
        Placement placement,
        AttemptDispatcher dispatcher,
        RetryPolicy retryPolicy,
        PromptGuard promptGuard,
        TimeSource timeSource) {}
