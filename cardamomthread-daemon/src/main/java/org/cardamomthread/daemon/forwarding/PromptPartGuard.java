package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PromptPart;
import org.cardamomthread.daemon.view.EndpointIncarnation;
import org.cardamomthread.daemon.view.KnownQuarantine;
import org.cardamomthread.daemon.view.QuarantineCodec;
import org.cardamomthread.daemon.view.TrialClient;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence.Kind;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.PromptPartQuarantine;
import org.cardamomthread.policy.quarantine.TrialDecision;

/**
 * Keeps requests with quarantined prompt parts from endpoints, and collects this gateway's evidence
 * on prompt parts for the leader.
 *
 * <p>Invariants: at most {@value #MAX_REMEMBERED_PARTS} answered parts, and as many lost ones, are
 * held; the oldest are dropped. A part that was lost here is asked about at the leader until the
 * leader's list can have it. Not thread-safe.
 */
final class PromptPartGuard {

    /** Parts of one prompt that are looked at; a header of the usual size holds fewer. */
    static final int MAX_PARTS_PER_PROMPT = 256;

    static final int MAX_REMEMBERED_PARTS = 4_096;

    /** Time after a loss within which the list of a leader that was told of it has the part. */
    static final long LOCAL_LOSS_MS = 3_000;

    private final TrialClient trialClient;
    private final TimeSource timeSource;
    private final PromptPartEvidenceBuffer evidence;
    private final Map<PromptPartKey, Boolean> answered =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<PromptPartKey, Boolean> eldest) {
                    return size() > MAX_REMEMBERED_PARTS;
                }
            };

    /** The parts that were lost here, and when they need no longer be asked about, in order. */
    private final Map<PromptPartKey, Long> lostUntilMs = new LinkedHashMap<>();

    /** When the latest answered request of each service was sent. */
    private final Map<ServiceId, Long> answeredSentMs = new HashMap<>();

    private Map<PromptPartKey, KnownQuarantine> recorded = Map.of();
    private final long startTimeMs;
    private long trialCount;

    PromptPartGuard(TrialClient trialClient, TimeSource timeSource, ForwardingLog log) {
        this.trialClient = trialClient;
        this.timeSource = timeSource;
        startTimeMs = timeSource.millis();
        evidence = new PromptPartEvidenceBuffer(timeSource, log);
    }

    /**
     * Returns the parts of a request that may be quarantined: all but the last, which no other
     * request has.
     */
    static List<PromptPartKey> keysOf(AdmittedRequest request) {
        List<PromptPart> parts = request.head().promptParts();
        if (!request.service().isModel() || parts.size() < 2) {
            return List.of();
        }
        return parts.subList(0, Math.min(MAX_PARTS_PER_PROMPT, parts.size() - 1)).stream()
                .map(part -> PromptPartKey.of(request.service().id(), part.id()))
                .distinct()
                .toList();
    }

    /**
     * Returns the last part of a request, which may stand before the last one of a later request.
     */
    static Optional<PromptPartKey> lastKeyOf(AdmittedRequest request) {
        List<PromptPart> parts = request.head().promptParts();
        return parts.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        PromptPartKey.of(request.service().id(), parts.get(parts.size() - 1).id()));
    }

    /**
     * Returns an identifier for the trials of one request, unique among all runs of this gateway.
     */
    String createTrialId(RequestId request) {
        trialCount++;
        return request + "#" + startTimeMs + "." + trialCount;
    }

    /**
     * Decides whether a request may be sent.
     *
     * @param keys the parts of the request
     * @param trial identifies the request
     * @param callback receives the decision, before this method returns unless the leader is asked
     */
    void decide(List<PromptPartKey> keys, String trial, Consumer<TrialDecision> callback) {
        long nowMs = timeSource.monotonicMs();
        removeExpiredLosses(nowMs);
        long waitMs = 0;
        boolean isSuspected = false;
        for (PromptPartKey key : keys) {
            isSuspected |= lostUntilMs.containsKey(key);
            if (isQuarantined(key)) {
                isSuspected = true;
                KnownQuarantine known = recorded.get(key);
                // The leader may try a request sooner if it lacks one of the companions.
                if (!known.entry().hasCompanions()) {
                    waitMs = Math.max(waitMs, known.trialReadyMs() - nowMs);
                }
            }
        }
        if (!isSuspected) {
            callback.accept(TrialDecision.UNRESTRICTED);
        } else if (waitMs > 0) {
            callback.accept(TrialDecision.rejected(waitMs));
        } else {
            requestTrial(keys, trial, callback);
        }
    }

    private void requestTrial(
            List<PromptPartKey> keys, String trial, Consumer<TrialDecision> callback) {
        List<PromptPartEvidence> items = evidence.encode();
        keys.stream()
                .filter(answered::containsKey)
                .map(key -> QuarantineCodec.createEvidence(Kind.VOUCHED, key))
                .forEach(items::add);
        trialClient.request(
                keys,
                trial,
                items,
                decision -> {
                    if (decision.isEmpty()) {
                        releaseTrial(keys, trial);
                    }
                    callback.accept(
                            decision.orElse(
                                    TrialDecision.rejected(TrialClient.UNDECIDED_RETRY_AFTER_MS)));
                });
    }

    /**
     * Records that an answer began to a request.
     *
     * @param service the service of the request
     * @param keys the parts of the request
     * @param sentMs when the request was sent
     * @param isTrial whether it was sent as a trial
     */
    void recordAnswer(
            ServiceId service, Collection<PromptPartKey> keys, long sentMs, boolean isTrial) {
        answeredSentMs.merge(service, sentMs, Math::max);
        for (PromptPartKey key : keys) {
            answered.put(key, true);
            boolean wasLost = lostUntilMs.remove(key) != null;
            if (isTrial || wasLost || recorded.containsKey(key)) {
                evidence.addAnswer(key);
            }
        }
    }

    /** Records that an answer began under a part that is not reported to the leader. */
    void rememberAnswered(PromptPartKey key) {
        answered.put(key, true);
    }

    /**
     * Records that a request was lost with its endpoint before an answer began. If parts of it are
     * quarantined, they explain the loss, and the others are not suspected.
     *
     * @param keys the parts of the request
     * @param endpoint the endpoint's incarnation
     * @param trial the trial that was lost, empty if the request was not sent as one
     * @return the parts under which no answer has been seen here, any of which may be the cause
     */
    List<PromptPartKey> recordLoss(
            Collection<PromptPartKey> keys, EndpointIncarnation endpoint, Optional<String> trial) {
        List<PromptPartKey> suspects = new ArrayList<>();
        boolean isExplained = keys.stream().anyMatch(this::isQuarantined);
        for (PromptPartKey key : keys) {
            if (isExplained && !isQuarantined(key)) {
                trial.ifPresent(id -> evidence.addTrialRelease(key, id));
                continue;
            }
            boolean isAnswered = answered.containsKey(key);
            evidence.addLoss(key, endpoint, trial.orElse(""), isAnswered);
            if (!isAnswered) {
                suspects.add(key);
                addLocalLoss(key);
            }
        }
        return suspects;
    }

    /** Records that a trial ended without an answer or a loss. */
    void releaseTrial(Collection<PromptPartKey> keys, String trial) {
        keys.forEach(key -> evidence.addTrialRelease(key, trial));
    }

    /** Applies the leader's list, which answers the last report. */
    void applyRecordedParts(Map<PromptPartKey, KnownQuarantine> newRecorded) {
        evidence.acknowledge();
        recorded = newRecorded;
    }

    /** Adds the evidence to a report; it is kept until the leader has answered. */
    void addReport(ViewRequest.Builder request) {
        request.addAllEvidence(evidence.report());
        long nowMs = timeSource.monotonicMs();
        recorded.forEach(
                (key, known) -> {
                    if (!known.entry().isVouched() && answered.containsKey(key)) {
                        request.addEvidence(QuarantineCodec.createEvidence(Kind.VOUCHED, key));
                    }
                });
        recorded.keySet().stream()
                .map(PromptPartKey::service)
                .distinct()
                .filter(answeredSentMs::containsKey)
                .forEach(
                        service ->
                                request.addEvidence(
                                        QuarantineCodec.createServiceAnswer(
                                                service, nowMs - answeredSentMs.get(service))));
    }

    /** Returns whether a part is quarantined, also if the leader has not been vouched to yet. */
    private boolean isQuarantined(PromptPartKey key) {
        KnownQuarantine known = recorded.get(key);
        return known != null
                && PromptPartQuarantine.isQuarantined(
                        known.entry().crashes(),
                        known.entry().isVouched() || answered.containsKey(key));
    }

    private void addLocalLoss(PromptPartKey key) {
        lostUntilMs.remove(key);
        if (lostUntilMs.size() >= MAX_REMEMBERED_PARTS) {
            Iterator<PromptPartKey> oldest = lostUntilMs.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        lostUntilMs.put(key, timeSource.monotonicMs() + LOCAL_LOSS_MS);
    }

    private void removeExpiredLosses(long nowMs) {
        Iterator<Long> oldest = lostUntilMs.values().iterator();
        if (!oldest.hasNext() || oldest.next() > nowMs) {
            return;
        }
        Set<PromptPartKey> notReported = evidence.lostParts();
        lostUntilMs
                .entrySet()
                .removeIf(loss -> loss.getValue() <= nowMs && !notReported.contains(loss.getKey()));
    }
}
