package org.cardamomthread.policy.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.cardamomthread.policy.profile.Priority;

/**
 * Selects the deferrable call that is preempted for an urgent one.
 *
 * <p>Only deferrable calls with enough slack before their deadline are preempted; among them, the
 * call that loses the least work is selected. Stateless and thread-safe.
 */
public final class PreemptionPolicy {

    private static final long MIN_SLACK_MS = 5_000;

    /** Maximum number of tokens of deferrable work that may be lost per token of urgent work. */
    private static final long MAX_LOST_TOKENS_PER_URGENT_TOKEN = 20;

    private static final Comparator<RunningCall> LEAST_LOSS_FIRST =
            Comparator.comparingLong(PreemptionPolicy::lostTokens)
                    .thenComparing(Comparator.comparingLong(RunningCall::slackMs).reversed())
                    .thenComparing(RunningCall::id);

    /**
     * Selects a call to preempt.
     *
     * @param running running calls at the endpoints that the urgent call could use
     * @param urgentTokens number of tokens of the urgent call, which bounds the work that may be
     *     lost
     * @return call to preempt, or empty if none should be
     */
    public Optional<RunningCall> selectVictim(Collection<RunningCall> running, long urgentTokens) {
        return running.stream()
                .filter(call -> call.priority() == Priority.PATIENT)
                .filter(call -> call.slackMs() >= MIN_SLACK_MS)
                .min(LEAST_LOSS_FIRST)
                .filter(
                        call ->
                                lostTokens(call)
                                        <= Math.max(urgentTokens, 1)
                                                * MAX_LOST_TOKENS_PER_URGENT_TOKEN);
    }

    private static long lostTokens(RunningCall call) {
        return call.resumable() ? 0 : call.processedTokens();
    }
}
