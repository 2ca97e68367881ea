package org.cardamomthread.daemon.dialect;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds what the head of an endpoint's answer says. Immutable.
 *
 * @param isSigned whether it bears the endpoint's signature
 * @param isNotRun whether the endpoint states that it has not run the request
 * @param load the endpoint's load, if stated
 * @param coldMs how long the endpoint stays cold, in milliseconds, if stated
 */
public record AnswerHead(
        boolean isSigned, boolean isNotRun, Optional<LoadReport> load, OptionalLong coldMs) {}
