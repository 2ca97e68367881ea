package org.cardamomthread.standin.fault;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Kinds of faults that can be injected into a stand-in. */
public enum FaultKind {
    /** Answers with status 500. */
    @JsonProperty("fail")
    FAIL,
    /** Answers more slowly by {@link Fault#factor()}. */
    @JsonProperty("slow")
    SLOW,
    /** Answers after an additional delay of {@link Fault#delayMs()}. */
    @JsonProperty("late")
    LATE,
    /** Answers as if to another request: with other content and another request identifier. */
    @JsonProperty("crossed")
    CROSSED,
    /** Ends the answer before it is complete. */
    @JsonProperty("truncated")
    TRUNCATED,
    /** Sends the answer twice. */
    @JsonProperty("duplicated")
    DUPLICATED,
    /** Keeps the connection open without ever answering. */
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
