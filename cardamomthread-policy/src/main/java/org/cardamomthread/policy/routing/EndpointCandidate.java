package org.cardamomthread.policy.routing;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;

/**
 * Describes the state of an endpoint as one gateway knows it when it selects an endpoint.
 *
 * <p>Immutable and thread-safe. Requests sent since the load report are counted separately, because
 * the report lags behind.
 *
 * @param version the version that it serves
 * @param dataCentre data centre where it runs
 * @param price price and reclaim risk of its host
 * @param load latest load report
 * @param credits number of further requests that the home node of the endpoint permits this gateway
 *     to send, at least zero
 * @param sentSinceReport number of requests that this gateway sent after the report, at least zero
 * @param promptTokensSentSinceReport number of uncached prompt tokens in those requests, at least
 *     zero
 * @param networkRoundTripMs network round-trip time, in milliseconds, at least zero
 */
public record EndpointCandidate(
        EndpointId id,
        VersionId version,
        DataCentreId dataCentre,
        EndpointPrice price,
        EndpointLoadReport load,
        int credits,
        int sentSinceReport,
        long promptTokensSentSinceReport,
        double networkRoundTripMs) {

    /** Validates the components. */
    public EndpointCandidate {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(version, "version must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(price, "price must not be null");
        Objects.requireNonNull(load, "load must not be null");
        if (credits < 0
                || sentSinceReport < 0
                || promptTokensSentSinceReport < 0
                || !(networkRoundTripMs >= 0)) {
            throw new IllegalArgumentException(
                    "credits, sentSinceReport, promptTokensSentSinceReport and networkRoundTripMs"
                            + " of "
                            + id
                            + " must be 0 or more");
        }
    }

    /**
     * Returns the estimated number of requests at the endpoint: those in the load report and those
     * sent since.
     *
     * @return number of requests, at least zero
     */
    public int outstandingRequests() {
        return load.running() + load.queued() + sentSinceReport;
    }

    /**
     * Returns a copy with another number of credits.
     *
     * @param newCredits number of further requests permitted, at least zero
     * @return updated copy
     */
    public EndpointCandidate withCredits(int newCredits) {
        return new EndpointCandidate(
                id,
                version,
                dataCentre,
                price,
                load,
                newCredits,
                sentSinceReport,
                promptTokensSentSinceReport,
                networkRoundTripMs);
    }

    /**
     * Returns a copy that accounts for one more request sent to the endpoint, which consumes a
     * credit.
     *
     * @param uncachedPromptTokens number of prompt tokens that the endpoint has to process
     * @return updated copy
     */
    public EndpointCandidate withSentRequest(int uncachedPromptTokens) {
        return new EndpointCandidate(
                id,
                version,
                dataCentre,
                price,
                load,
                Math.max(0, credits - 1),
                sentSinceReport + 1,
                promptTokensSentSinceReport + uncachedPromptTokens,
                networkRoundTripMs);
    }

    /**
     * Returns a copy with a new load report, which is assumed to include all requests sent so far.
     *
     * @return updated copy
     */
    public EndpointCandidate withLoadReport(EndpointLoadReport report) {
        return new EndpointCandidate(
                id, version, dataCentre, price, report, credits, 0, 0, networkRoundTripMs);
    }
}
