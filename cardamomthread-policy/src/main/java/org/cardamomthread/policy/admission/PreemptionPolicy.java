package org.cardamomthread.policy.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.cardamomthread.policy.profile.Priority;

/**
 * Chooses the patient call that gives way to an urgent one.
 *
 * <p>Only patient calls with time to spare give way; among them the one that loses least work.
 * Stateless and safe for use by several threads.
 */
public final class PreemptionPolicy {

    private static final long LEAST_SLACK_MS = 5_000;

    private static final long LOSS_FACTOR = 20; // tokens of patient work an urgent token is worth

    private static final Comparator<RunningCall> BY_LOSS =
            Comparator.comparingLong(PreemptionPolicy::lostTokens)
                    .thenComparing(Comparator.comparingLong(RunningCall::slackMs).reversed())
                    .thenComparing(RunningCall::id);

    /**
     * Chooses a call to preempt.
     *
     * @param running calls at the endpoints that the urgent call could use
     * @param urgentTokens tokens of the urgent call, which must exceed the loss
     * @return the call that gives way, or empty if none should
     */
    public Optional<RunningCall> victim(Collection<RunningCall> running, long urgentTokens) {
        return running.stream()
                .filter(call -> call.priority() == Priority.PATIENT)
                .filter(call -> call.slackMs() >= LEAST_SLACK_MS)
                .min(BY_LOSS)
                .filter(call -> lostTokens(call) <= Math.max(urgentTokens, 1) * LOSS_FACTOR);
    }

    private static long lostTokens(RunningCall call) {
        return call.resumable() ? 0 : call.processedTokens();
    }
}
