package org.cardamomthread.daemon.dialect;

/**
 * Identifies one part of a prompt. Immutable.
 *
 * @param id the id of the part, which is the same for parts with equal content
 * @param tokens the length of the part in tokens
 */
public record PromptPart(String id, int tokens) {}
