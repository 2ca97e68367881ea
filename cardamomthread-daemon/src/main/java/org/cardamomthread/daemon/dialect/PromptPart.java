package org.cardamomthread.daemon.dialect;

/**
 * Names one part of a prompt. Immutable.
 *
 * @param id the part's identifier, equal for equal parts
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
