package org.cardamomthread.policy.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cardamomthread.core.id.ServiceId;

/**
 * Decides which prompt parts are quarantined, from the attempts that were lost and the answers that
 * began under them on all nodes.
 *
 * <p>An endpoint that crashes takes the requests of many callers with it, so a crash is evidence
 * against a part only until an answer begins under that part. A part that was never answered is
 * quarantined by its first crash, a part that had been answered before by {@value
 * #CRASHES_OF_VOUCHED_PART} separate crashes. Requests with a quarantined part are tried one at a
 * time. The pause between trials grows with each crash, but only while other requests of the
 * service are answered: if none are, the part does not explain the crashes. An answer ends the
 * quarantine.
 *
 * <p>Invariants: at most {@value #MAX_PARTS} parts are recorded; a part is forgotten {@value
 * #RETENTION_MS} ms after its last crash. Times are monotonic milliseconds of the node that owns
 * the object. Not thread-safe.
 */
public final class PromptPartQuarantine {

    /** Number of separate crashes that quarantine a part under which answers had begun before. */
    public static final int CRASHES_OF_VOUCHED_PART = 3;

    /** Maximum number of recorded parts; those with the weakest evidence are dropped first. */
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

    private static final Comparator<PartRecord> WEAKEST_FIRST =
            Comparator.comparing(PartRecord::isQuarantined)
                    .thenComparingInt(PartRecord::lostEndpointCount)
                    .thenComparingLong(PartRecord::lastCrashMs);

    private final Map<PromptPartKey, PartRecord> records = new HashMap<>();
    private long revision;

    /** The records with the strongest evidence first, as of {@link #sortedRevision}. */
    private List<Map.Entry<PromptPartKey, PartRecord>> sorted = List.of();

    private long sortedRevision;

    /**
     * Records that an attempt was lost with its endpoint just now. If the part is being tried, the
     * attempt is taken for the trial.
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
        PartRecord part = records.get(key);
        String trial = part != null && part.isOnTrial(nowMs) ? part.trialHolder() : "";
        return recordLoss(
                key, new EndpointLoss(endpoint, trial, isVouched, Set.of(), nowMs), nowMs);
    }

    /**
     * Records that an attempt was lost with its endpoint before an answer began.
     *
     * @param key a part of the request, other than the last one
     * @param loss the loss, which may be older than others that were recorded before
     * @param nowMs the current time
     * @return the entry if the part is now quarantined and this is a further crash, otherwise empty
     */
    public Optional<QuarantineEntry> recordLoss(PromptPartKey key, EndpointLoss loss, long nowMs) {
        removeExpired(nowMs);
        if (nowMs - loss.lostMs() > RETENTION_MS) {
            return Optional.empty();
        }
        PartRecord part = findOrCreate(key);
        boolean wasVouched = part.isVouched();
        boolean isFurtherCrash = part.recordLoss(loss);
        if (isFurtherCrash || wasVouched != part.isVouched()) {
            revision++;
        }
        return isFurtherCrash && part.isQuarantined()
                ? Optional.of(createEntry(key, part, nowMs))
                : Optional.empty();
    }

    /**
     * Withdraws the losses of an endpoint that has turned out not to have crashed.
     *
     * @param endpoint the incarnation of the endpoint
     * @return the parts that are no longer quarantined
     */
    public List<PromptPartKey> retractLosses(String endpoint) {
        List<PromptPartKey> released = new ArrayList<>();
        Iterator<Map.Entry<PromptPartKey, PartRecord>> iterator = records.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<PromptPartKey, PartRecord> entry = iterator.next();
            PartRecord part = entry.getValue();
            boolean wasQuarantined = part.isQuarantined();
            if (!part.retract(endpoint)) {
                continue;
            }
            revision++;
            if (part.crashCount() == 0) {
                iterator.remove();
            }
            if (wasQuarantined && !part.isQuarantined()) {
                released.add(entry.getKey());
            }
        }
        return released;
    }

    /**
     * Records that a node has seen answers under a part before its crashes.
     *
     * @param key the part
     * @return whether this ends the part's quarantine
     */
    public boolean recordVouch(PromptPartKey key) {
        PartRecord part = records.get(key);
        if (part == null || part.isVouched()) {
            return false;
        }
        boolean wasQuarantined = part.isQuarantined();
        part.vouch();
        revision++;
        return wasQuarantined && !part.isQuarantined();
    }

    /**
     * Records that an answer began just now under a part, which ends its quarantine, to a request
     * that was sent after all recorded crashes.
     *
     * @param key the part
     * @return whether the part was quarantined
     */
    public boolean recordAnswer(PromptPartKey key) {
        recordServiceAnswer(key.service(), Long.MAX_VALUE);
        return recordAnswer(key, Long.MAX_VALUE);
    }

    /**
     * Records that an answer began under a part. This ends its quarantine, unless the part has
     * crashed an endpoint since.
     *
     * @param key the part
     * @param answeredMs when the answer began
     * @return whether this ends the part's quarantine
     */
    public boolean recordAnswer(PromptPartKey key, long answeredMs) {
        PartRecord part = records.get(key);
        if (part == null) {
            return false;
        }
        if (answeredMs < part.lastCrashMs()) {
            return recordVouch(key);
        }
        records.remove(key);
        records.values().forEach(other -> other.removeCompanion(key));
        revision++;
        return part.isQuarantined();
    }

    /**
     * Records that a request of a service was answered, whatever its parts.
     *
     * @param service the service
     * @param sentMs when the request was sent to its endpoint
     */
    public void recordServiceAnswer(ServiceId service, long sentMs) {
        records.forEach(
                (key, part) -> {
                    if (key.service().equals(service)) {
                        part.recordOthersAnswered(sentMs);
                    }
                });
    }

    /**
     * Decides on a request and, if it may be sent as a trial, prevents other trials of its parts. A
     * holder may send its request again during its own trial.
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
        long waitMs =
                quarantined.stream()
                        .mapToLong(part -> part.trialWaitMs(keys, holder, nowMs))
                        .max()
                        .orElse(0);
        if (waitMs > 0) {
            return TrialDecision.rejected(waitMs);
        }
        quarantined.forEach(part -> part.startTrial(holder, nowMs));
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
        if (part != null && part.trialHolder().equals(holder)) {
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
        PartRecord part = findOrCreate(entry.key());
        int knownCrashes = part.crashCount();
        part.merge(entry, nowMs);
        if (part.crashCount() > knownCrashes) {
            revision++;
        }
    }

    /**
     * Returns the recorded parts: those that are quarantined, and those that would be after further
     * crashes without an answer.
     *
     * @param maxEntries the maximum number of entries
     * @param nowMs the current time
     * @return those with the strongest evidence, in that order: the most endpoints lost
     */
    public List<QuarantineEntry> list(int maxEntries, long nowMs) {
        removeExpired(nowMs);
        if (sortedRevision != revision) {
            sortedRevision = revision;
            sorted =
                    records.entrySet().stream()
                            .sorted(Map.Entry.comparingByValue(WEAKEST_FIRST.reversed()))
                            .toList();
        }
        return sorted.stream()
                .limit(maxEntries)
                .map(entry -> createEntry(entry.getKey(), entry.getValue(), nowMs))
                .toList();
    }

    /**
     * Returns whether requests with a part may only be sent as trials.
     *
     * @param crashes the number of separate crashes without an answer in between
     * @param isVouched whether answers had begun under the part before
     * @return whether the part is quarantined
     */
    public static boolean isQuarantined(int crashes, boolean isVouched) {
        return crashes >= (isVouched ? CRASHES_OF_VOUCHED_PART : 1);
    }

    /**
     * Returns a number that changes whenever the list of recorded parts may have changed.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    private static QuarantineEntry createEntry(PromptPartKey key, PartRecord part, long nowMs) {
        return new QuarantineEntry(
                key,
                part.crashCount(),
                part.confirmedCrashCount(),
                part.lostEndpointCount(),
                part.isVouched(),
                part.hasCompanions(),
                Math.max(0, part.nextTrialMs() - nowMs));
    }

    /**
     * Returns the pause after a crash, which grows with the crashes that other requests survived.
     */
    static long trialPauseMs(int crashes, int confirmedCrashes, boolean isVouched) {
        int excess = crashes - (isVouched ? CRASHES_OF_VOUCHED_PART : 1);
        if (excess <= 0) {
            return 0;
        }
        long pauseMs = FIRST_TRIAL_PAUSE_MS;
        for (int i = 1; i < Math.min(excess, confirmedCrashes); i++) {
            pauseMs = Math.min(MAX_TRIAL_PAUSE_MS, pauseMs * TRIAL_PAUSE_FACTOR);
        }
        return pauseMs;
    }

    /**
     * Removes the parts whose last crash is too long ago.
     *
     * @param nowMs the current time
     */
    public void removeExpired(long nowMs) {
        if (records.values().removeIf(part -> nowMs - part.lastCrashMs() > RETENTION_MS)) {
            revision++;
        }
    }

    private PartRecord findOrCreate(PromptPartKey key) {
        PartRecord part = records.get(key);
        if (part == null) {
            makeRoom();
            part = new PartRecord();
            records.put(key, part);
        }
        return part;
    }

    private void makeRoom() {
        if (records.size() < MAX_PARTS) {
            return;
        }
        records.entrySet().stream()
                .min(Map.Entry.comparingByValue(WEAKEST_FIRST))
                .map(Map.Entry::getKey)
                .ifPresent(records::remove);
    }
}
