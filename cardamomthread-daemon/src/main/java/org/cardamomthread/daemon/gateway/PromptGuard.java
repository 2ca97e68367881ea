package org.cardamomthread.daemon.gateway;

import java.util.function.Consumer;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.policy.quarantine.TrialDecision;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Keeps requests from endpoints whose prompts begin like those under which endpoints crashed.
 *
 * <p>Thread-safe; no method blocks.
 */
public interface PromptGuard {

    /**
     * Identifies the prompt of a new request.
     *
     * @param request the caller's request, whose identifier the caller may have chosen
     * @param service the called service
     * @param prefix the blocks of the prompt; empty for plain services
     * @return the argument for the other methods
     */
    GuardedPrompt createPrompt(RequestId request, ServiceId service, PromptPrefix prefix);

    /**
     * Returns how long a request would certainly be rejected.
     *
     * @param prompt the prompt of the request
     * @return the time in milliseconds, 0 if the request may be admissible now
     */
    long getRejectionMs(GuardedPrompt prompt);

    /**
     * Decides whether a request may be sent. A trial must end by {@link #recordAnswer}, {@link
     * #recordLoss} or {@link #releaseTrial}.
     *
     * @param prompt the prompt of the request
     * @param callback receives the decision exactly once, possibly before this method returns
     */
    void decide(GuardedPrompt prompt, Consumer<TrialDecision> callback);

    /**
     * Records that an answer to a request began.
     *
     * @param prompt the prompt of the request
     * @param sentMs when the request was sent to its endpoint, in monotonic milliseconds
     */
    void recordAnswer(GuardedPrompt prompt, long sentMs);

    /**
     * Records that a request was lost with its endpoint before an answer began.
     *
     * @param prompt the prompt of the request
     * @param endpoint the endpoint's incarnation
     * @return whether the prompt may be the cause, so that it must not be sent to another endpoint
     */
    boolean recordLoss(GuardedPrompt prompt, String endpoint);

    /**
     * Records that a trial ended with neither an answer nor a loss.
     *
     * @param prompt the prompt of the request
     */
    void releaseTrial(GuardedPrompt prompt);
}
