package org.cardamomthread.policy.placement;

import org.cardamomthread.core.id.EndpointId;

/**
 * Holds what one gateway knows of the load and the speed of one endpoint: the last load report, the
 * gateway's own requests, and the times that they took.
 *
 * <p>Invariants: counts are never negative; the times sampled are those at the usual work time of
 * the endpoint's host. Not thread-safe.
 */
public final class EndpointLoad {

    /** Work time of a host that does not report one, in percent. */
    private static final double USUAL_WORK_TIME_PERCENT = 100;

    /**
     * Weight of the latest work time. It changes many times per second, so that one report says
     * little about the duration of the next request.
     */
    private static final double WORK_TIME_SMOOTHING = 0.2;

    /** Factor on earlier times with each new one: about the last ten count. */
    private static final double PACE_DECAY = 0.9;

    /**
     * Age at which a time counts for 1/e. A gateway of the largest deployments sends an endpoint a
     * request about every five seconds.
     */
    private static final double PACE_AGE_MS = 20_000;

    /** Factor on earlier loads with each new report: about the last three count. */
    private static final double LOAD_DECAY = 0.7;

    /** Age at which a reported load counts for 1/e in the mean. */
    private static final double LOAD_AGE_MS = 5_000;

    /** Time after which a reported excess of the work time has fallen to 1/e, in milliseconds. */
    private static final double WORK_TIME_AGE_MS = 5_000;

    /** Prompt tokens for which the service's median pace counts beside an endpoint's samples. */
    private static final double PRIOR_PROMPT_TOKENS = 2_000;

    /** Requests for which the service's median duration counts beside an endpoint's samples. */
    private static final double PRIOR_REQUESTS = 2;

    /** Reports for which the mean load at the same place counts beside those of an endpoint. */
    private static final double PRIOR_REPORTS = 2;

    private final EndpointId id;
    private final PaceEstimate prefillPace = new PaceEstimate(PACE_DECAY, PACE_AGE_MS);
    private final PaceEstimate requestPace = new PaceEstimate(PACE_DECAY, PACE_AGE_MS);
    private final PaceEstimate requestsPerReport = new PaceEstimate(LOAD_DECAY, LOAD_AGE_MS);
    private int inFlight;
    private int startedSinceReport;
    private long pendingPromptTokens;
    private boolean hasReport;
    private boolean hasWorkTime;
    private int reportedRequests;
    private long reportedMs;
    private double workTimePercent = USUAL_WORK_TIME_PERCENT;

    /**
     * Creates the state of an endpoint of which nothing is known yet.
     *
     * @param id the id of the endpoint
     */
    public EndpointLoad(EndpointId id) {
        this.id = id;
    }

    EndpointId id() {
        return id;
    }

    /** Records that a request was sent to the endpoint. */
    public void recordStart() {
        inFlight++;
        startedSinceReport++;
    }

    /** Records the end of a request that was sent to the endpoint. */
    public void recordEnd() {
        inFlight = Math.max(0, inFlight - 1);
    }

    /**
     * Records a load report of the endpoint.
     *
     * @param requests the requests in progress and in the endpoint's queue
     * @param reportedWorkTimePercent the time that work takes on its host, in percent of the usual
     *     time, 0 if it is not reported
     * @param nowMs the current time, in monotonic milliseconds
     */
    public void recordReport(int requests, int reportedWorkTimePercent, long nowMs) {
        hasReport = true;
        reportedRequests = requests;
        reportedMs = nowMs;
        startedSinceReport = 0;
        requestsPerReport.add(requests, 1, nowMs);
        if (reportedWorkTimePercent > 0) {
            hasWorkTime = true;
            workTimePercent += WORK_TIME_SMOOTHING * (reportedWorkTimePercent - workTimePercent);
        }
    }

    /**
     * Returns the number of this gateway's requests at the endpoint.
     *
     * @return the number
     */
    public int inFlight() {
        return inFlight;
    }

    /** Returns whether the endpoint has reported how long work takes on its host. */
    boolean hasWorkTime() {
        return hasWorkTime;
    }

    boolean hasReport() {
        return hasReport;
    }

    int reportedRequests() {
        return reportedRequests;
    }

    /**
     * Returns the mean of the reported requests.
     *
     * @param meanAtPlace the mean of the endpoints at the same place
     */
    double meanRequests(double meanAtPlace, long nowMs) {
        return requestsPerReport.expected(meanAtPlace, PRIOR_REPORTS, nowMs);
    }

    long reportAgeMs(long nowMs) {
        return nowMs - reportedMs;
    }

    /**
     * Returns the number of this gateway's requests since the last load report.
     *
     * @return the number
     */
    public int startedSinceReport() {
        return startedSinceReport;
    }

    /** Returns the prompt tokens of this gateway's requests without a first token. */
    long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    void addPendingPromptTokens(long promptTokens) {
        pendingPromptTokens += promptTokens;
    }

    void addPrefillSample(double elapsedMs, double promptTokens, long nowMs) {
        prefillPace.add(elapsedMs / workTimeFactor(nowMs), promptTokens, nowMs);
    }

    void addRequestSample(double elapsedMs, long nowMs) {
        requestPace.add(elapsedMs / workTimeFactor(nowMs), 1, nowMs);
    }

    PaceEstimate prefillPace() {
        return prefillPace;
    }

    PaceEstimate requestPace() {
        return requestPace;
    }

    /** Returns the expected prefill time of one prompt token, in milliseconds. */
    double msPerPromptToken(ServicePace service, long nowMs) {
        return workTimeFactor(nowMs)
                * prefillPace.expected(service.msPerPromptToken(), PRIOR_PROMPT_TOKENS, nowMs);
    }

    /** Returns the expected duration of a request in a slot, in milliseconds. */
    double requestMs(ServicePace service, long nowMs) {
        return workTimeFactor(nowMs)
                * requestPace.expected(service.requestMs(), PRIOR_REQUESTS, nowMs);
    }

    /** Returns to the usual time as the last report ages; an avoided endpoint sends no other. */
    private double workTimeFactor(long nowMs) {
        double excess = workTimePercent / USUAL_WORK_TIME_PERCENT - 1;
        return 1 + excess * Math.exp(-reportAgeMs(nowMs) / WORK_TIME_AGE_MS);
    }
}
