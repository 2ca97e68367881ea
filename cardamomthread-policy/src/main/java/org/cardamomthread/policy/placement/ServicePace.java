package org.cardamomthread.policy.placement;

import java.util.Arrays;
import java.util.List;

/**
 * Holds what one gateway has measured of a service as a whole, for endpoints of which it has no
 * fresh figures of their own. Not thread-safe.
 */
public final class ServicePace {

    /** Interval between computations of the medians: that of the polls of the view. */
    private static final long REFRESH_INTERVAL_MS = 250;

    /** Age beyond which a load report says nothing about the present load of the service. */
    static final long MAX_REPORT_AGE_MS = 5_000;

    /** Weight of the latest request in the means, which thus cover about the last 50 requests. */
    private static final double MEAN_SMOOTHING = 0.02;

    /**
     * Duration of a request while none has ended; also the age beyond which load reports are known
     * to mislead.
     */
    private static final double INITIAL_REQUEST_MS = 1_500;

    private final ProbeSchedule probes = new ProbeSchedule();
    private double msPerPromptToken;
    private double requestMs = INITIAL_REQUEST_MS;
    private double meanRequestMs = INITIAL_REQUEST_MS;
    private double meanFirstTokenMs;
    private double meanPromptTokens;
    private double localUtilisation = Double.NaN;
    private double remoteUtilisation = Double.NaN;
    private boolean hasWorkTimes;
    private boolean hasRefreshed;
    private long refreshedMs;

    /** Tells where an endpoint runs and how large it is. */
    public interface Candidate {

        /**
         * Returns the measured load of the endpoint.
         *
         * @return the load
         */
        EndpointLoad load();

        /**
         * Returns the number of requests that the endpoint can run concurrently.
         *
         * @return the number, 1 or more
         */
        int slots();
    }

    /** Tells whether a candidate runs in the gateway's data centre. */
    public interface Locality {

        /**
         * Returns whether a candidate runs in the gateway's data centre.
         *
         * @param candidate the candidate
         * @return true if it does
         */
        boolean isLocal(Candidate candidate);
    }

    /**
     * Computes the medians and utilisations, unless that was done a moment ago.
     *
     * @param candidates the endpoints of the service
     * @param locality tells which of them are in the gateway's data centre
     * @param nowMs the current time, in monotonic milliseconds
     */
    public void refresh(List<? extends Candidate> candidates, Locality locality, long nowMs) {
        if (hasRefreshed && hasWorkTimes && nowMs - refreshedMs < REFRESH_INTERVAL_MS) {
            return;
        }
        hasRefreshed = true;
        refreshedMs = nowMs;
        double[] prefillMs = new double[candidates.size()];
        double[] durationsMs = new double[candidates.size()];
        int prefillCount = 0;
        int durationCount = 0;
        double[] utilisationSums = new double[2];
        int[] utilisationCounts = new int[2];
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(i);
            EndpointLoad load = candidate.load();
            hasWorkTimes |= load.hasWorkTime();
            if (load.prefillPace().hasSamples()) {
                prefillMs[prefillCount++] = load.prefillPace().sampled();
            }
            if (load.requestPace().hasSamples()) {
                durationsMs[durationCount++] = load.requestPace().sampled();
            }
            if (load.hasReport() && load.reportAgeMs(nowMs) <= MAX_REPORT_AGE_MS) {
                int place = locality.isLocal(candidate) ? 0 : 1;
                utilisationSums[place] += (double) load.reportedRequests() / candidate.slots();
                utilisationCounts[place]++;
            }
        }
        msPerPromptToken = median(prefillMs, prefillCount, msPerPromptToken);
        requestMs = median(durationsMs, durationCount, requestMs);
        localUtilisation = utilisationSums[0] / utilisationCounts[0];
        remoteUtilisation = utilisationSums[1] / utilisationCounts[1];
    }

    private static double median(double[] values, int count, double valueIfNone) {
        if (count == 0) {
            return valueIfNone;
        }
        Arrays.sort(values, 0, count);
        return values[count / 2];
    }

    /**
     * Returns whether any endpoint of the service has reported how long work takes on its host.
     * Where hosts are alike, bounded loads serve callers as well, and shared prompts are read again
     * half as often.
     *
     * @return true if one has
     */
    public boolean hasWorkTimes() {
        return hasWorkTimes;
    }

    /** Returns the schedule of the requests to data centres of unknown load. */
    ProbeSchedule probes() {
        return probes;
    }

    void recordSend(long promptTokens) {
        meanPromptTokens +=
                (meanPromptTokens == 0 ? 1 : MEAN_SMOOTHING) * (promptTokens - meanPromptTokens);
    }

    void recordFirstToken(double elapsedMs) {
        meanFirstTokenMs +=
                (meanFirstTokenMs == 0 ? 1 : MEAN_SMOOTHING) * (elapsedMs - meanFirstTokenMs);
    }

    void recordEnd(double elapsedMs) {
        meanRequestMs += MEAN_SMOOTHING * (elapsedMs - meanRequestMs);
    }

    /** Returns the median prefill time of one prompt token, in milliseconds, 0 if not known. */
    double msPerPromptToken() {
        return msPerPromptToken;
    }

    /** Returns the median duration of a request, in milliseconds. */
    double requestMs() {
        return requestMs;
    }

    double meanPromptTokens() {
        return meanPromptTokens;
    }

    /** Returns the part of the requests at an endpoint that have no first token yet, 0 to 1. */
    double prefillShare() {
        return Math.min(1, meanFirstTokenMs / Math.max(1, meanRequestMs));
    }

    /** Returns the mean requests per slot of the endpoints, or NaN without recent reports. */
    double utilisation(boolean isLocal) {
        return isLocal ? localUtilisation : remoteUtilisation;
    }
}
