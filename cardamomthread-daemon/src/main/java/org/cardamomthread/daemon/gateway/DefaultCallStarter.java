package org.cardamomthread.daemon.gateway;

/**
 * Selects how a call is run: as a streaming model call, as a buffered call that may be retried, or
 * as an at-most-once call.
 *
 * <p>Stateless and thread-safe.
 */
final class DefaultCallStarter implements CallStarter {

    private final CallDependencies dependencies;
    private final AtMostOnceCallStarter atMostOnceStarter;

    DefaultCallStarter(CallDependencies dependencies, AtMostOnceCallStarter atMostOnceStarter) {
        this.dependencies = dependencies;
        this.atMostOnceStarter = atMostOnceStarter;
    }

    @Override
    public void startModelCall(CallContext context, ModelRequest request) {
        if (request.isStreamed()) {
            new StreamingModelCall(context, dependencies, request).start();
            return;
        }
        String target = context.getExchange().getRequest().target();
        new BufferedCall(context, dependencies, WorkEstimate.of(request), target).start();
    }

    @Override
    public void startPlainCall(CallContext context, String endpointTarget) {
        if (context.getTarget().isRepeatable()) {
            new BufferedCall(context, dependencies, WorkEstimate.PLAIN, endpointTarget).start();
            return;
        }
        atMostOnceStarter.start(context, endpointTarget);
    }
}
