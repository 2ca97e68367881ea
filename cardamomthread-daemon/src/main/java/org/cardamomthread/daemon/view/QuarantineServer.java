package org.cardamomthread.daemon.view;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence;
import org.cardamomthread.daemon.view.generated.QuarantinedPart;
import org.cardamomthread.daemon.view.generated.TrialRequest;
import org.cardamomthread.daemon.view.generated.TrialResponse;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.cardamomthread.policy.quarantine.EndpointLoss;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.PromptPartQuarantine;
import org.cardamomthread.policy.quarantine.QuarantineEntry;
import org.cardamomthread.policy.quarantine.TrialDecision;
import org.cardamomthread.transport.PeerTopic;

/**
 * Joins the gateways' evidence on prompt parts and grants trials, on the control node that is the
 * leader.
 *
 * <p>The state is not replicated: a new leader receives it from the gateways, which report what
 * they know from the one before. Confined to the control thread, but for {@link #handleTrial} and
 * {@link #countQuarantined}.
 */
public final class QuarantineServer {

    /** The topic of the gateways' trial requests. */
    public static final PeerTopic TOPIC = new PeerTopic(24, "prompt-part-trials");

    /**
     * Maximum number of parts that gateways are told of, so that the list adds little to a view
     * response.
     */
    static final int MAX_LISTED_PARTS = 64;

    private final PromptPartQuarantine quarantine = new PromptPartQuarantine();
    private final LostEndpoints lostEndpoints;
    private final Supplier<OptionalLong> leaderTerm;
    private final ControlThread controlThread;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private long term = -1;
    private long settledMs;
    private volatile int quarantinedParts;

    /**
     * Creates a server without evidence.
     *
     * @param registry the registered endpoints, accessed on the control thread only
     * @param leaderTerm supplies the term in which this node is the leader, empty while it is not
     * @param controlThread the thread on which requests are handled
     * @param timeSource supplies monotonic time
     * @param log receives an entry for each part that is quarantined, tried or released
     */
    public QuarantineServer(
            EndpointRegistry registry,
            Supplier<OptionalLong> leaderTerm,
            ControlThread controlThread,
            TimeSource timeSource,
            DecisionLog log) {
        lostEndpoints = new LostEndpoints(registry, timeSource);
        this.leaderTerm = leaderTerm;
        this.controlThread = controlThread;
        this.timeSource = timeSource;
        this.log = log;
    }

    /**
     * Handles a trial request of a gateway.
     *
     * @param from the gateway that sent it
     * @param payload the encoded {@link TrialRequest}
     * @return the encoded {@link TrialResponse}
     */
    public CompletionStage<byte[]> handleTrial(NodeId from, byte[] payload) {
        TrialRequest request;
        try {
            request = TrialRequest.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
        return controlThread.submit(() -> decide(from, request).toByteArray());
    }

    /**
     * Returns the number of quarantined parts.
     *
     * @return the number among the parts that gateways are told of, 0 if this node is not the
     *     leader
     */
    public int countQuarantined() {
        return leaderTerm.get().isPresent() ? quarantinedParts : 0;
    }

    /** Applies the evidence in a gateway's report, and what it knows from another leader. */
    void accept(NodeId gateway, ViewRequest request) {
        long nowMs = timeSource.monotonicMs();
        for (QuarantinedPart known : request.getQuarantinedList()) {
            QuarantineCodec.decode(known).ifPresent(entry -> quarantine.merge(entry, nowMs));
        }
        leaderTerm.get().ifPresent(this::updateTerm);
        applyEvidence(gateway, request.getEvidenceList());
        lostEndpoints.takeAlive().forEach(this::retractLosses);
    }

    /** Adds the recorded parts to a response, unless the gateway has the current list. */
    void addTo(ViewResponse.Builder response, ViewRequest request, boolean isKnownSource) {
        long nowMs = timeSource.monotonicMs();
        quarantine.removeExpired(nowMs);
        response.setQuarantineRevision(quarantine.revision());
        if (isKnownSource && request.getQuarantineRevision() == quarantine.revision()) {
            return;
        }
        List<QuarantineEntry> entries = quarantine.list(MAX_LISTED_PARTS, nowMs);
        quarantinedParts = (int) entries.stream().filter(QuarantineEntry::isQuarantined).count();
        response.setQuarantineListed(true);
        entries.forEach(entry -> response.addQuarantined(QuarantineCodec.encode(entry)));
    }

    /** In a new term, trials wait until the gateways had the time to report what they know. */
    private void updateTerm(long currentTerm) {
        if (term != currentTerm) {
            term = currentTerm;
            settledMs = timeSource.monotonicMs() + ViewServer.SETTLING_PERIOD.toMillis();
        }
    }

    private TrialResponse decide(NodeId gateway, TrialRequest request) {
        OptionalLong currentTerm = leaderTerm.get();
        if (currentTerm.isEmpty()) {
            return TrialResponse.getDefaultInstance();
        }
        updateTerm(currentTerm.getAsLong());
        applyEvidence(gateway, request.getEvidenceList());
        long unsettledMs = settledMs - timeSource.monotonicMs();
        if (unsettledMs > 0) {
            return TrialResponse.newBuilder().setRetryAfterMs(unsettledMs).build();
        }
        List<PromptPartKey> keys = QuarantineCodec.decodeAll(request.getPartsList());
        TrialDecision decision =
                quarantine.decide(
                        keys, holder(gateway, request.getTrial()), timeSource.monotonicMs());
        if (decision.kind() == TrialDecision.Kind.TRIAL) {
            log.log("prompt-part-trial", "trial", request.getTrial(), "gateway", gateway);
        }
        return TrialResponse.newBuilder()
                .setPermitted(decision.maySend())
                .setRetryAfterMs(decision.retryAfterMs())
                .build();
    }

    private void applyEvidence(NodeId gateway, Collection<PromptPartEvidence> evidence) {
        Map<String, Set<PromptPartKey>> lostTrials = collectLostTrials(evidence);
        for (PromptPartEvidence item : evidence) {
            QuarantineCodec.decode(item.getPart())
                    .ifPresent(
                            key -> {
                                Set<PromptPartKey> others =
                                        new HashSet<>(
                                                lostTrials.getOrDefault(item.getTrial(), Set.of()));
                                others.remove(key);
                                apply(gateway, key, item, others);
                            });
        }
    }

    /** Returns the parts that were lost with each trial. */
    private static Map<String, Set<PromptPartKey>> collectLostTrials(
            Collection<PromptPartEvidence> evidence) {
        Map<String, Set<PromptPartKey>> lostTrials = new HashMap<>();
        for (PromptPartEvidence item : evidence) {
            if (item.getKind() == PromptPartEvidence.Kind.LOST && !item.getTrial().isEmpty()) {
                QuarantineCodec.decode(item.getPart())
                        .ifPresent(
                                key ->
                                        lostTrials
                                                .computeIfAbsent(
                                                        item.getTrial(), trial -> new HashSet<>())
                                                .add(key));
            }
        }
        return lostTrials;
    }

    private void apply(
            NodeId gateway, PromptPartKey key, PromptPartEvidence item, Set<PromptPartKey> others) {
        long happenedMs = timeSource.monotonicMs() - Math.max(0, item.getAgeMs());
        switch (item.getKind()) {
            case LOST -> applyLoss(gateway, key, item, others, happenedMs);
            case ANSWERED -> {
                if (quarantine.recordAnswer(key, happenedMs)) {
                    logRelease(gateway, key, "answered");
                }
            }
            case VOUCHED -> {
                if (quarantine.recordVouch(key)) {
                    logRelease(gateway, key, "answered before");
                }
            }
            case TRIAL_RELEASED -> quarantine.releaseTrial(key, holder(gateway, item.getTrial()));
            case SERVICE_ANSWERED -> quarantine.recordServiceAnswer(key.service(), happenedMs);
            default ->
                    log.log(
                            "prompt-part-evidence-ignored",
                            "gateway",
                            gateway,
                            "kind",
                            item.getKindValue());
        }
    }

    private void applyLoss(
            NodeId gateway,
            PromptPartKey key,
            PromptPartEvidence item,
            Set<PromptPartKey> others,
            long lostMs) {
        Optional<EndpointIncarnation> endpoint = QuarantineCodec.decodeEndpoint(item);
        if (endpoint.isEmpty()) {
            log.log("prompt-part-evidence-ignored", "gateway", gateway, "kind", "LOST");
            return;
        }
        String trial = item.getTrial().isEmpty() ? "" : holder(gateway, item.getTrial());
        String incarnation = endpoint.get().toString();
        lostEndpoints.watch(endpoint.get());
        quarantine
                .recordLoss(
                        key,
                        new EndpointLoss(incarnation, trial, item.getVouched(), others, lostMs),
                        timeSource.monotonicMs())
                .ifPresent(entry -> logQuarantine(gateway, entry, incarnation));
    }

    private void retractLosses(EndpointIncarnation endpoint) {
        quarantine
                .retractLosses(endpoint.toString())
                .forEach(
                        key ->
                                log.log(
                                        "prompt-part-released",
                                        "service",
                                        key.service(),
                                        "part",
                                        key.part(),
                                        "reason",
                                        "the endpoint did not crash",
                                        "endpoint",
                                        endpoint));
    }

    private void logQuarantine(NodeId gateway, QuarantineEntry entry, String endpoint) {
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
                endpoint,
                "gateway",
                gateway);
    }

    private static String holder(NodeId gateway, String trial) {
        return gateway + "/" + trial;
    }

    private void logRelease(NodeId gateway, PromptPartKey key, String reason) {
        log.log(
                "prompt-part-released",
                "service",
                key.service(),
                "part",
                key.part(),
                "reason",
                reason,
                "gateway",
                gateway);
    }
}
