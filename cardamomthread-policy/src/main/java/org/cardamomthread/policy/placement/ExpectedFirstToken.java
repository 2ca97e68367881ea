package org.cardamomthread.policy.placement;

/**
 * Estimates the time to the first token of a request on an endpoint, or the time to the response of
 * a service without prompts.
 *
 * <p>Stateless and thread-safe.
 */
final class ExpectedFirstToken {

    /**
     * Highest expected load per slot of a local endpoint without a fresh report. With the mean of
     * past reports, gateways of two data centres kept avoiding their own endpoints for 20 s after a
     * peak: what is not tried reports nothing. With 0.9, requests returned to overloaded endpoints,
     * and the 99th percentile with half of a data centre lost doubled.
     */
    private static final double MAX_LOCAL_LOAD_WITHOUT_REPORT = 1;

    private ExpectedFirstToken() {}

    /**
     * Estimates the requests at an endpoint from all gateways.
     *
     * <p>After a report, requests leave and others arrive. What the other gateways send is taken to
     * draw the load towards its usual level, at the pace at which requests end. Without this, an
     * idle endpoint would look idle to all gateways for as long as they have not heard from it
     * again, and a full one full.
     *
     * @param isIdleIfUnknown whether an endpoint without report is taken to have no requests of
     *     others, instead of the mean
     * @param gatewayCount the number of gateways, 0 if not known
     */
    static double requests(
            EndpointLoad load,
            ServicePace service,
            int slots,
            boolean isLocal,
            boolean isIdleIfUnknown,
            int gatewayCount,
            long nowMs) {
        double utilisation = service.utilisation(isLocal);
        double maxMean = isLocal ? MAX_LOCAL_LOAD_WITHOUT_REPORT * slots : Double.MAX_VALUE;
        if (isUnknown(load, service, isLocal, nowMs)) {
            double scaledInFlight = (double) load.inFlight() * Math.max(1, gatewayCount);
            return isIdleIfUnknown || Double.isNaN(utilisation)
                    ? scaledInFlight
                    : Math.max(scaledInFlight, Math.min(maxMean, utilisation * slots));
        }
        double expected = load.reportedRequests();
        if (!Double.isNaN(utilisation)) {
            double remaining = remainingShare(load, service, nowMs);
            double mean = Math.min(maxMean, load.meanRequests(utilisation * slots, nowMs));
            expected = expected * remaining + mean * (1 - remaining);
        }
        return Math.max(load.inFlight(), expected + load.startedSinceReport());
    }

    /** Returns whether there is no report by which the load of an endpoint can be estimated. */
    static boolean isUnknown(EndpointLoad load, ServicePace service, boolean isLocal, long nowMs) {
        return !load.hasReport()
                || Double.isNaN(service.utilisation(isLocal))
                        && load.reportAgeMs(nowMs) > ServicePace.MAX_REPORT_AGE_MS;
    }

    /**
     * Returns the expected time to the first token, in milliseconds, without network latency.
     *
     * @param requests the requests at the endpoint by {@link #requests}
     * @param promptTokens the prompt tokens of the request, 0 for a service without prompts
     * @param cachedTokens those of them that the endpoint is expected to have cached
     */
    static double expectedMs(
            EndpointLoad load,
            ServicePace service,
            int slots,
            double requests,
            long promptTokens,
            long cachedTokens,
            long nowMs) {
        double requestMs = load.requestMs(service, nowMs);
        double waitMs = requestMs * relativeSlotWait(load, service, slots, requests, nowMs);
        if (promptTokens <= 0) {
            return waitMs + requestMs;
        }
        double tokens =
                promptTokensAhead(load, service, slots, requests)
                        + Math.max(0, promptTokens - cachedTokens);
        return waitMs + tokens * load.msPerPromptToken(service, nowMs);
    }

    /**
     * Estimates the prompt tokens that are prefilled before those of a request that has a slot.
     * Requests that wait for a slot are counted in the wait for it.
     */
    static double promptTokensAhead(
            EndpointLoad load, ServicePace service, int slots, double requests) {
        double fromOthers = Math.min(slots, requests) - load.inFlight();
        return load.pendingPromptTokens()
                + Math.max(0, fromOthers) * service.prefillShare() * service.meanPromptTokens();
    }

    /**
     * Returns the expected wait for a slot relative to the duration of a request: the mean of the
     * positive part of the requests above the slots, whose number is uncertain, per slot. This
     * approximation is exact when the expected excess is 0 and when it is certain.
     */
    static double relativeSlotWait(
            EndpointLoad load, ServicePace service, int slots, double requests, long nowMs) {
        double excess = requests + 1 - slots;
        double variance = requests;
        if (load.hasReport()) {
            variance *= 1 - remainingShare(load, service, nowMs);
        }
        double meanExcess = 0.5 * (excess + Math.sqrt(excess * excess + 2 / Math.PI * variance));
        return meanExcess / slots;
    }

    private static double remainingShare(EndpointLoad load, ServicePace service, long nowMs) {
        return Math.exp(-load.reportAgeMs(nowMs) / Math.max(1, service.requestMs()));
    }
}
