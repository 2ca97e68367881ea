package org.cardamomthread.daemon.gateway;

/**
 * Starts each call in the form that its target needs: streamed, whole, or once only.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class DefaultCallStarter implements CallStarter {

    private final CallServices services;
    private final OnceOnlyStarter onceOnly;

    DefaultCallStarter(CallServices services, OnceOnlyStarter onceOnly) {
        this.services = services;
        this.onceOnly = onceOnly;
    }

    @Override
    public void startModel(CallScope scope, ModelRequest request) {
        if (request.isStreamed()) {
            new ModelStreamCall(scope, services, request).start();
            return;
        }
        String target = scope.getExchange().getCall().getTarget();
        new WholeAnswerCall(scope, services, CallDemand.of(request), target).start();
    }

    @Override
    public void startPlain(CallScope scope, String endpointTarget) {
        if (scope.getTarget().isRepeatable()) {
            new WholeAnswerCall(scope, services, CallDemand.PLAIN, endpointTarget).start();
            return;
        }
        onceOnly.start(scope, endpointTarget);
    }
}
