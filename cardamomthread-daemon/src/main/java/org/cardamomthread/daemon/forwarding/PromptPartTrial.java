package org.cardamomthread.daemon.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.cardamomthread.daemon.view.EndpointIncarnation;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.TrialDecision;

/**
 * Tracks whether one request is sent as a trial of quarantined prompt parts.
 *
 * <p>Invariant: a trial that was granted is answered, lost or released once. Must be used on one
 * event loop.
 */
final class PromptPartTrial {

    private final ForwardingContext context;
    private final AdmittedRequest request;
    private final List<PromptPartKey> promptParts;
    private final String trialId;
    private boolean isOnTrial;

    PromptPartTrial(ForwardingContext context, AdmittedRequest request) {
        this.context = context;
        this.request = request;
        promptParts = PromptPartGuard.keysOf(request);
        trialId = context.promptPartGuard().createTrialId(request.head().requestId());
    }

    /** Decides whether the request may be sent, and passes on the decision. */
    void decide(Consumer<TrialDecision> callback) {
        context.promptPartGuard()
                .decide(
                        promptParts,
                        trialId,
                        decision -> {
                            isOnTrial |= decision.kind() == TrialDecision.Kind.TRIAL;
                            callback.accept(decision);
                        });
    }

    boolean isOnTrial() {
        return isOnTrial;
    }

    /** Records that an answer began to an attempt that was sent at the given time. */
    void recordAnswerBegun(long sentMs) {
        context.promptPartGuard()
                .recordAnswer(request.service().id(), promptParts, sentMs, isOnTrial);
        PromptPartGuard.lastKeyOf(request).ifPresent(context.promptPartGuard()::rememberAnswered);
        isOnTrial = false;
    }

    /**
     * Records that the current attempt was lost with its endpoint before an answer began.
     *
     * @return whether the request may be the cause, so that it must not be sent to another endpoint
     */
    boolean recordLossBeforeAnswer(TrackedEndpoint endpoint) {
        Optional<String> trial = isOnTrial ? Optional.of(trialId) : Optional.empty();
        isOnTrial = false;
        List<PromptPartKey> suspects =
                context.promptPartGuard()
                        .recordLoss(
                                promptParts,
                                EndpointIncarnation.of(endpoint.knownEndpoint().report()),
                                trial);
        if (!suspects.isEmpty()) {
            context.forwardingLog().logSuspects(request, endpoint.id(), suspects);
        }
        return !suspects.isEmpty();
    }

    /** Gives a trial back that will not be sent for now. */
    void release() {
        if (isOnTrial) {
            isOnTrial = false;
            context.promptPartGuard().releaseTrial(promptParts, trialId);
        }
    }
}
