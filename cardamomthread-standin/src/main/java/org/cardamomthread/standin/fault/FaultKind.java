package org.cardamomthread.standin.fault;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Kinds of faults that can be injected into a stand-in. */
public enum FaultKind {
    /** Responds with status 500. */
    @JsonProperty("fail")
    FAIL,
    /** Responds more slowly by {@link Fault#factor()}. */
    @JsonProperty("slow")
    SLOW,
    /** Responds after an additional delay of {@link Fault#delayMs()}. */
    @JsonProperty("late")
    LATE,
    /** Responds as if to another request: with other content and another request identifier. */
    @JsonProperty("crossed")
    CROSSED,
    /** Ends the response before it is complete. */
    @JsonProperty("truncated")
    TRUNCATED,
    /** Sends the response twice. */
    @JsonProperty("duplicated")
    DUPLICATED,
    /** Keeps the connection open without ever responding. */
    @JsonProperty("silent")
    SILENT,
    /** Resets the connection without running the request. */
    @JsonProperty("reset-before-run")
    RESET_BEFORE_RUN,
    /** Runs the request and resets the connection before the first byte. */
    @JsonProperty("reset-before-first-byte")
    RESET_BEFORE_FIRST_BYTE,
    /** Runs the request and resets the connection after the first byte. */
    @JsonProperty("reset-after-first-byte")
    RESET_AFTER_FIRST_BYTE,
    /** Makes the endpoint cold immediately. */
    @JsonProperty("cold")
    COLD,
    /** Makes the endpoint announce the state {@code leaving} immediately. */
    @JsonProperty("leaving")
    LEAVING
}
