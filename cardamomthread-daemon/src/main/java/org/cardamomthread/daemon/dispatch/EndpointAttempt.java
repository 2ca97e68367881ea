package org.cardamomthread.daemon.dispatch;

/** Represents an attempt in progress that can be cancelled. Thread-safe. */
public interface EndpointAttempt {

    /**
     * Closes the attempt's connection. The listener is notified of a failure of kind {@code
     * CANCELLED}, or {@code NOT_SENT} if the request was not sent yet, unless the attempt has
     * already ended.
     */
    void cancel();

    /**
     * Stops or resumes reading the response, so that the endpoint sends no faster than its bytes
     * can be passed on.
     *
     * @param isReading whether the response is read
     */
    void setReading(boolean isReading);
}
