package org.cardamomthread.daemon.dialect;

/**
 * Holds the load of an endpoint at one moment. Immutable.
 *
 * @param running the number of requests in progress
 * @param waiting the number of requests in the endpoint's queue
 * @param slots the number of requests that it can run concurrently
 * @param workTimePercent how long work takes on its host at this moment, in percent of the usual
 *     time; {@link #WORK_TIME_NOT_REPORTED} if the endpoint does not report it
 */
public record LoadReport(int running, int waiting, int slots, int workTimePercent) {

    /** Work time of an endpoint that does not report one. */
    public static final int WORK_TIME_NOT_REPORTED = 0;
}
