package org.cardamomthread.policy.routing;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;

/**
 * Describes an endpoint as one gateway knows it at the moment of a choice.
 *
 * <p>Immutable and safe for use by several threads. The requests sent since the report are kept
 * apart from the report, because the report lags.
 *
 * @param id the endpoint
 * @param version the version that it serves
 * @param dataCentre where it runs
 * @param price its price and reclaim risk
 * @param load its last load report
 * @param credits further requests that its home permits this gateway, at least zero
 * @param sentSinceReport requests that this gateway sent after the report, at least zero
 * @param promptTokensSentSinceReport uncached prompt tokens of those requests, at least zero
 * @param networkDelayMs network delay there and back, in milliseconds, at least zero
 */
public record EndpointCandidate(
        EndpointId id,
        VersionId version,
        DataCentreId dataCentre,
        EndpointPrice price,
        EndpointLoad load,
        int credits,
        int sentSinceReport,
        long promptTokensSentSinceReport,
        double networkDelayMs) {

    /** Checks the parts. */
    public EndpointCandidate {
        Objects.requireNonNull(id, "id must be given");
        Objects.requireNonNull(version, "version must be given");
        Objects.requireNonNull(dataCentre, "dataCentre must be given");
        Objects.requireNonNull(price, "price must be given");
        Objects.requireNonNull(load, "load must be given");
        if (credits < 0
                || sentSinceReport < 0
                || promptTokensSentSinceReport < 0
                || !(networkDelayMs >= 0)) {
            throw new IllegalArgumentException(
                    "credits, sentSinceReport, promptTokensSentSinceReport and networkDelayMs of "
                            + id
                            + " must be 0 or more");
        }
    }

    /**
     * Returns the requests believed to be at the endpoint: reported ones and those sent since.
     *
     * @return the number of requests
     */
    public int outstanding() {
        return load.running() + load.queued() + sentSinceReport;
    }

    /**
     * Returns this candidate with another number of credits.
     *
     * @param newCredits further requests permitted
     * @return the changed copy
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
                networkDelayMs);
    }

    /**
     * Returns this candidate after one more request was sent to it, which spends a credit.
     *
     * @param uncachedPromptTokens prompt tokens that the endpoint has to process
     * @return the changed copy
     */
    public EndpointCandidate afterSend(int uncachedPromptTokens) {
        return new EndpointCandidate(
                id,
                version,
                dataCentre,
                price,
                load,
                Math.max(0, credits - 1),
                sentSinceReport + 1,
                promptTokensSentSinceReport + uncachedPromptTokens,
                networkDelayMs);
    }

    /**
     * Returns this candidate after a new load report, which covers what was sent before it.
     *
     * @param report the report
     * @return the changed copy
     */
    public EndpointCandidate afterReport(EndpointLoad report) {
        return new EndpointCandidate(
                id, version, dataCentre, price, report, credits, 0, 0, networkDelayMs);
    }
}
