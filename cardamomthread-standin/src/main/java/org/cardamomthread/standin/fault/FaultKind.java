package org.cardamomthread.standin.fault;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Ways in which a stand-in can go wrong. */
public enum FaultKind {
    /** Answers with status 500. */
    @JsonProperty("fail")
    FAIL,
    /** Takes longer by a factor. */
    @JsonProperty("slow")
    SLOW,
    /** Answers after a delay. */
    @JsonProperty("late")
    LATE,
    /** Sends the answer to another prompt, under another request's identifier. */
    @JsonProperty("crossed")
    CROSSED,
    /** Ends the answer before its end. */
    @JsonProperty("truncated")
    TRUNCATED,
    /** Sends the answer twice. */
    @JsonProperty("duplicated")
    DUPLICATED,
    /** Leaves the connection open and never answers on it. */
    @JsonProperty("silent")
    SILENT,
    /** Resets the connection without having run the request. */
    @JsonProperty("reset-before-run")
    RESET_BEFORE_RUN,
    /** Runs the request and resets the connection before the first byte. */
    @JsonProperty("reset-before-first-byte")
    RESET_BEFORE_FIRST_BYTE,
    /** Runs the request and resets the connection after the first byte. */
    @JsonProperty("reset-after-first-byte")
    RESET_AFTER_FIRST_BYTE,
    /** Makes the endpoint cold again, at once. */
    @JsonProperty("cold")
    COLD,
    /** Makes the endpoint announce that it leaves, at once. */
    @JsonProperty("leaving")
    LEAVING
}
