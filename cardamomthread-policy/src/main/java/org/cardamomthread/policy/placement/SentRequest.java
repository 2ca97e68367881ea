package org.cardamomthread.policy.placement;

import org.cardamomthread.policy.placement.ServicePace.Candidate;

/**
 * Follows one request at an endpoint and samples the endpoint's speed from it.
 *
 * <p>Invariant: a request adds at most one sample of each kind. The prefill is sampled only while
 * the endpoint has free slots, since the wait for a slot cannot be told from it. Not thread-safe.
 */
public final class SentRequest {

    private final EndpointLoad load;
    private final ServicePace service;
    private final int slots;
    private final long sentMs;
    private final long uncachedTokens;
    private final double tokensAhead;
    private final double relativeSlotWait;
    private final boolean wasFull;
    private final double expectedMs;
    private long firstTokenMs;
    private boolean hasFirstToken;
    private boolean hasEnded;

    /**
     * Records the prompt of a request that is sent to an endpoint, before its start is counted.
     *
     * @param candidate the endpoint
     * @param service the measurements of its service
     * @param isLocal whether the endpoint is in the gateway's data centre
     * @param gatewayCount the number of gateways, 0 if not known
     * @param promptTokens the prompt tokens of the request, 0 for a service without prompts
     * @param cachedTokens those of them that the endpoint is expected to have cached
     * @param nowMs the current time, in monotonic milliseconds
     * @return the request
     */
    public static SentRequest send(
            Candidate candidate,
            ServicePace service,
            boolean isLocal,
            int gatewayCount,
            long promptTokens,
            long cachedTokens,
            long nowMs) {
        EndpointLoad load = candidate.load();
        int slots = candidate.slots();
        double requests =
                ExpectedFirstToken.requests(
                        load, service, slots, isLocal, isLocal, gatewayCount, nowMs);
        return new SentRequest(load, service, slots, requests, promptTokens, cachedTokens, nowMs);
    }

    private SentRequest(
            EndpointLoad load,
            ServicePace service,
            int slots,
            double requests,
            long promptTokens,
            long cachedTokens,
            long nowMs) {
        this.load = load;
        this.service = service;
        this.slots = slots;
        sentMs = nowMs;
        uncachedTokens = Math.max(0, promptTokens - cachedTokens);
        tokensAhead = ExpectedFirstToken.promptTokensAhead(load, service, slots, requests);
        wasFull = load.hasReport() && requests + 1 > slots;
        relativeSlotWait =
                ExpectedFirstToken.relativeSlotWait(load, service, slots, requests, nowMs);
        expectedMs =
                ExpectedFirstToken.expectedMs(
                        load, service, slots, requests, promptTokens, cachedTokens, nowMs);
        load.addPendingPromptTokens(uncachedTokens);
        if (promptTokens > 0) {
            service.recordSend(uncachedTokens);
        }
    }

    /**
     * Records that the first token of the response has arrived.
     *
     * @param nowMs the current time, in monotonic milliseconds
     */
    public void recordFirstToken(long nowMs) {
        if (hasFirstToken || hasEnded) {
            return;
        }
        hasFirstToken = true;
        firstTokenMs = nowMs;
        load.addPendingPromptTokens(-uncachedTokens);
        addPrefillSample(nowMs);
    }

    /**
     * Records the end of the request.
     *
     * @param isComplete whether the response was complete
     * @param hasRun whether the endpoint may have run the request
     * @param nowMs the current time, in monotonic milliseconds
     */
    public void recordEnd(boolean isComplete, boolean hasRun, long nowMs) {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        if (!hasFirstToken) {
            load.addPendingPromptTokens(-uncachedTokens);
            if (hasRun && nowMs - sentMs > expectedMs) {
                // The first token would have come even later: the sample is a lower bound.
                addPrefillSample(nowMs);
            }
        } else if (isComplete) {
            double requestMs = Math.max(1, inSlotMs(nowMs));
            service.recordEnd(requestMs);
            load.addRequestSample(requestMs, nowMs);
        }
    }

    /** Returns the time that the request is likely to have had a slot, in milliseconds. */
    private double inSlotMs(long nowMs) {
        if (uncachedTokens == 0) {
            return (nowMs - sentMs) / (1 + relativeSlotWait);
        }
        double prefillMs =
                (tokensAhead + uncachedTokens) * load.msPerPromptToken(service, firstTokenMs);
        return nowMs - firstTokenMs + Math.min(firstTokenMs - sentMs, prefillMs);
    }

    private void addPrefillSample(long nowMs) {
        boolean isFull = wasFull || load.hasReport() && load.reportedRequests() >= slots;
        if (uncachedTokens > 0 && !isFull) {
            double elapsedMs = Math.max(1, nowMs - sentMs);
            service.recordFirstToken(elapsedMs);
            load.addPrefillSample(elapsedMs, tokensAhead + uncachedTokens, nowMs);
        }
    }
}
