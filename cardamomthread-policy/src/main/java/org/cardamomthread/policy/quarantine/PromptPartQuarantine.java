package org.cardamomthread.policy.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which prompt parts are quarantined, from the attempts that were lost and the answers that
 * began under them on all nodes.
 *
 * <p>An endpoint that crashes takes the requests of many callers with it, so a crash is evidence
 * against a part only until an answer begins under that part. A part that was never answered is
 * quarantined by its first crash, a part that had been answered before by {@value
 * #CRASHES_OF_VOUCHED_PART} separate crashes. Requests with a quarantined part are tried one at a
 * time; the pause between trials grows with each crash. An answer ends the quarantine.
 *
 * <p>Invariants: at most {@value #MAX_PARTS} parts are recorded; a part is forgotten {@value
 * #RETENTION_MS} ms after its last crash. Times are monotonic milliseconds of the node that owns
 * the object. Not thread-safe.
 */
public final class PromptPartQuarantine {

    /** Number of separate crashes that quarantine a part under which answers had begun before. */
    public static final int CRASHES_OF_VOUCHED_PART = 3;

    /** Maximum number of recorded parts; those with the fewest crashes are dropped first. */
    public static final int MAX_PARTS = 512;

    /** Time after its last crash for which a part is recorded, in milliseconds. */
    public static final long RETENTION_MS = 15 * 60_000L;

    /**
     * Time within which losses other than those of trials count as one crash, since the endpoints
     * may have had a common cause such as a power failure.
     */
    static final long CRASH_WINDOW_MS = 1_000;

    /** Pause before the next trial after the second crash; each further crash multiplies it. */
    static final long FIRST_TRIAL_PAUSE_MS = 3_000;

    static final long MAX_TRIAL_PAUSE_MS = 10 * 60_000L;

    /** Time after which a trial without a reported result no longer prevents another one. */
    static final long TRIAL_TIMEOUT_MS = 10_000;

    /** Retry delay for requests that arrive during a trial. */
    static final long TRIAL_RETRY_AFTER_MS = 500;

    private static final int TRIAL_PAUSE_FACTOR = 4;

    private final Map<PromptPartKey, PartRecord> records = new HashMap<>();
    private long revision;

    /** Holds the evidence against one part since the last answer under it. */
    private static final class PartRecord {
        private int crashes;
        private boolean isVouched;
        private String lastEndpoint = "";
        private long lastCrashMs;
        private long nextTrialMs;
        private String trialHolder = "";
        private long trialEndMs;

        boolean isQuarantined() {
            return crashes >= (isVouched ? CRASHES_OF_VOUCHED_PART : 1);
        }

        boolean isOnTrial(long nowMs) {
            return nowMs < trialEndMs;
        }

        /** Returns the time until a trial may start, in milliseconds, or 0. */
        long trialWaitMs(long nowMs) {
            long pauseMs = Math.max(0, nextTrialMs - nowMs);
            return isOnTrial(nowMs) ? Math.max(TRIAL_RETRY_AFTER_MS, pauseMs) : pauseMs;
        }

        void endTrial() {
            trialHolder = "";
            trialEndMs = 0;
        }
    }

    /**
     * Records that an attempt was lost with its endpoint before an answer began.
     *
     * @param key a part of the request, other than the last one
     * @param endpoint the incarnation of the endpoint, of which further losses count as the same
     *     crash
     * @param isVouched whether the reporting node has seen answers under the part
     * @param nowMs the current time
     * @return the entry if the part is now quarantined and this is a further crash, otherwise empty
     */
    public Optional<QuarantineEntry> recordLoss(
            PromptPartKey key, String endpoint, boolean isVouched, long nowMs) {
        removeExpired(nowMs);
        PartRecord part = records.get(key);
        if (part == null) {
            makeRoom();
            part = new PartRecord();
            records.put(key, part);
        }
        part.isVouched |= isVouched;
        boolean isSameCrash =
                part.crashes > 0
                        && (part.lastEndpoint.equals(endpoint)
                                || !part.isOnTrial(nowMs)
                                        && nowMs - part.lastCrashMs < CRASH_WINDOW_MS);
        part.lastEndpoint = endpoint;
        part.endTrial();
        if (isSameCrash) {
            return Optional.empty();
        }
        part.crashes++;
        part.lastCrashMs = nowMs;
        part.nextTrialMs = nowMs + trialPauseMs(part);
        revision++;
        return part.isQuarantined() ? Optional.of(createEntry(key, part, nowMs)) : Optional.empty();
    }

    /**
     * Records that a node has seen answers under a part before its crashes.
     *
     * @param key the part
     */
    public void recordVouch(PromptPartKey key) {
        PartRecord part = records.get(key);
        if (part != null && !part.isVouched) {
            part.isVouched = true;
            revision++;
        }
    }

    /**
     * Records that an answer began under a part, which ends its quarantine.
     *
     * @param key the part
     * @return whether the part was quarantined
     */
    public boolean recordAnswer(PromptPartKey key) {
        PartRecord part = records.remove(key);
        if (part == null) {
            return false;
        }
        revision++;
        return part.isQuarantined();
    }

    /**
     * Decides on a request and, if it may be sent as a trial, prevents other trials of its parts.
     *
     * @param keys the parts of the request, without the last one
     * @param holder identifies the trial
     * @param nowMs the current time
     * @return the decision
     */
    public TrialDecision decide(Collection<PromptPartKey> keys, String holder, long nowMs) {
        removeExpired(nowMs);
        List<PartRecord> quarantined =
                keys.stream()
                        .map(records::get)
                        .filter(part -> part != null && part.isQuarantined())
                        .toList();
        if (quarantined.isEmpty()) {
            return TrialDecision.UNRESTRICTED;
        }
        long waitMs = quarantined.stream().mapToLong(part -> part.trialWaitMs(nowMs)).max().orElse(0);
        if (waitMs > 0) {
            return TrialDecision.rejected(waitMs);
        }
        for (PartRecord part : quarantined) {
            part.trialHolder = holder;
            part.trialEndMs = nowMs + TRIAL_TIMEOUT_MS;
        }
        return TrialDecision.TRIAL;
    }

    /**
     * Records that a trial ended without evidence, for example because it was not sent.
     *
     * @param key a part of the trial's request
     * @param holder identifies the trial
     */
    public void releaseTrial(PromptPartKey key, String holder) {
        PartRecord part = records.get(key);
        if (part != null && part.trialHolder.equals(holder)) {
            part.endTrial();
        }
    }

    /**
     * Merges an entry of another node, keeping the stronger evidence.
     *
     * @param entry the entry, as of now
     * @param nowMs the current time
     */
    public void merge(QuarantineEntry entry, long nowMs) {
        PartRecord part = records.get(entry.key());
        if (part == null) {
            makeRoom();
            part = new PartRecord();
            records.put(entry.key(), part);
        }
        if (entry.crashes() > part.crashes) {
            part.crashes = entry.crashes();
            part.lastCrashMs = nowMs;
            part.isVouched = entry.isVouched();
            revision++;
        }
        part.nextTrialMs = Math.max(part.nextTrialMs, nowMs + entry.trialWaitMs());
    }

    /**
     * Returns the quarantined parts.
     *
     * @param maxEntries the maximum number of entries
     * @param nowMs the current time
     * @return those with the most crashes, in that order
     */
    public List<QuarantineEntry> list(int maxEntries, long nowMs) {
        removeExpired(nowMs);
        return records.entrySet().stream()
                .filter(entry -> entry.getValue().isQuarantined())
                .sorted(
                        Comparator.comparingInt(
                                entry -> -entry.getValue().crashes))
                .limit(maxEntries)
                .map(entry -> createEntry(entry.getKey(), entry.getValue(), nowMs))
                .toList();
    }

    /**
     * Returns a number that changes whenever the list of quarantined parts may have changed.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    private static QuarantineEntry createEntry(PromptPartKey key, PartRecord part, long nowMs) {
        return new QuarantineEntry(
                key, part.crashes, part.isVouched, Math.max(0, part.nextTrialMs - nowMs));
    }

    private static long trialPauseMs(PartRecord part) {
        int excess = part.crashes - (part.isVouched ? CRASHES_OF_VOUCHED_PART : 1);
        long pauseMs = excess <= 0 ? 0 : FIRST_TRIAL_PAUSE_MS;
        for (int i = 1; i < excess && pauseMs < MAX_TRIAL_PAUSE_MS; i++) {
            pauseMs *= TRIAL_PAUSE_FACTOR;
        }
        return Math.min(MAX_TRIAL_PAUSE_MS, pauseMs);
    }

    private void removeExpired(long nowMs) {
        if (records.values().removeIf(part -> nowMs - part.lastCrashMs > RETENTION_MS)) {
            revision++;
        }
    }

    private void makeRoom() {
        if (records.size() < MAX_PARTS) {
            return;
        }
        records.entrySet().stream()
                .min(
                        Comparator.<Map.Entry<PromptPartKey, PartRecord>>comparingInt(
                                        entry -> entry.getValue().crashes)
                                .thenComparingLong(entry -> entry.getValue().lastCrashMs))
                .map(Map.Entry::getKey)
                .ifPresent(records::remove);
    }
}
