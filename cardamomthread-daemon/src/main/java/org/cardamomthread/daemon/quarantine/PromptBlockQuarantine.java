package org.cardamomthread.daemon.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.PromptPartQuarantine;
import org.cardamomthread.policy.quarantine.QuarantineEntry;
import org.cardamomthread.policy.quarantine.TrialDecision;

/**
 * Holds what this node knows of quarantined and answered prompt blocks.
 *
 * <p>Invariant: an answer under a block ends the quarantine of that block and of all before it.
 * Thread-safe.
 */
final class PromptBlockQuarantine {

    private final TimeSource timeSource;
    private final DecisionLog log;
    private final PromptPartQuarantine quarantine = new PromptPartQuarantine();
    private final AnsweredBlocks answered = new AnsweredBlocks();

    /** The blocks with evidence against them since the last answer, oldest first. */
    private final Set<PromptPartKey> suspected = new LinkedHashSet<>();

    /** The quarantined blocks and the monotonic times from which they may be tried. */
    private volatile Map<PromptPartKey, Long> trialReadyMs = Map.of();

    PromptBlockQuarantine(TimeSource timeSource, DecisionLog log) {
        this.timeSource = timeSource;
        this.log = log;
    }

    /** Returns the number of quarantined blocks. */
    int countQuarantined() {
        return trialReadyMs.size();
    }

    /** Returns the quarantined blocks of a prompt, in order. */
    List<PromptPartKey> findQuarantined(PromptBlocks prompt) {
        Map<PromptPartKey, Long> current = trialReadyMs;
        return current.isEmpty()
                ? List.of()
                : prompt.keys(0, prompt.size()).stream().filter(current::containsKey).toList();
    }

    /** Returns the time until this node knows of no reason against a trial, in milliseconds. */
    long getTrialWaitMs(Collection<PromptPartKey> keys) {
        Map<PromptPartKey, Long> current = trialReadyMs;
        long nowMs = timeSource.monotonicMs();
        return keys.stream()
                .mapToLong(key -> Math.max(0, current.getOrDefault(key, nowMs) - nowMs))
                .max()
                .orElse(0);
    }

    /** Returns the number of leading blocks of a prompt under which this node saw an answer. */
    synchronized int countAnswered(PromptBlocks prompt) {
        return answered.count(prompt);
    }

    /**
     * Records that this node saw an answer begin.
     *
     * @param sentMs when the request was sent to its endpoint
     * @return the blocks against which there was evidence
     */
    synchronized List<PromptPartKey> recordAnswer(PromptBlocks prompt, long sentMs) {
        answered.record(prompt);
        if (suspected.isEmpty()) {
            return List.of();
        }
        quarantine.recordServiceAnswer(prompt.service(), sentMs);
        List<PromptPartKey> cleared = new ArrayList<>(prompt.keys(0, prompt.size()));
        cleared.retainAll(suspected);
        cleared.forEach(this::recordAnswer);
        return cleared;
    }

    /** Records that a node saw an answer begin under a block. */
    synchronized void recordAnswer(PromptPartKey key) {
        suspected.remove(key);
        if (quarantine.recordAnswer(key)) {
            log.log("prompt-part-released", "service", key.service(), "part", key.part());
        }
        refresh();
    }

    /** Records that a request was lost with its endpoint. */
    synchronized void recordLoss(PromptPartKey key, String endpoint, boolean isVouched) {
        addSuspect(key);
        quarantine
                .recordLoss(key, endpoint, isVouched, timeSource.monotonicMs())
                .ifPresent(entry -> logQuarantined(entry, endpoint));
        refresh();
    }

    /** Decides whether a request may be sent, as the node that grants the trials of its blocks. */
    synchronized TrialDecision decide(Collection<PromptPartKey> keys, String trial) {
        TrialDecision decision = quarantine.decide(keys, trial, timeSource.monotonicMs());
        log.log(
                "prompt-part-trial",
                "trial",
                trial,
                "parts",
                keys,
                "decision",
                decision.kind(),
                "retryAfterMs",
                decision.retryAfterMs());
        return decision;
    }

    /** Records that a trial ended without evidence. */
    synchronized void releaseTrial(PromptPartKey key, String trial) {
        quarantine.releaseTrial(key, trial);
    }

    /** Merges what another node knows. */
    synchronized void merge(Collection<QuarantineEntry> entries) {
        for (QuarantineEntry entry : entries) {
            addSuspect(entry.key());
            quarantine.merge(entry, timeSource.monotonicMs());
        }
        refresh();
    }

    /** Returns the blocks against which there is evidence, the strongest first. */
    synchronized List<QuarantineEntry> list() {
        return quarantine.list(PromptPartQuarantine.MAX_PARTS, timeSource.monotonicMs());
    }

    /** Returns those of the given blocks that are quarantined. */
    List<QuarantineEntry> list(Collection<PromptPartKey> keys) {
        return list().stream()
                .filter(QuarantineEntry::isQuarantined)
                .filter(entry -> keys.contains(entry.key()))
                .toList();
    }

    /** Drops blocks whose evidence has expired. */
    synchronized void refresh() {
        long nowMs = timeSource.monotonicMs();
        trialReadyMs =
                list().stream()
                        .filter(QuarantineEntry::isQuarantined)
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        QuarantineEntry::key,
                                        entry -> nowMs + entry.trialWaitMs()));
    }

    private void addSuspect(PromptPartKey key) {
        if (suspected.add(key) && suspected.size() > PromptPartQuarantine.MAX_PARTS) {
            suspected.remove(suspected.iterator().next());
        }
    }

    private void logQuarantined(QuarantineEntry entry, String endpoint) {
        log.log(
                "prompt-part-quarantined",
                "service",
                entry.key().service(),
                "part",
                entry.key().part(),
                "crashes",
                entry.crashes(),
                "answeredBefore",
                entry.isVouched(),
                "trialWaitMs",
                entry.trialWaitMs(),
                "endpoint",
                endpoint);
    }
}
