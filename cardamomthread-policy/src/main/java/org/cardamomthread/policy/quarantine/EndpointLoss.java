package org.cardamomthread.policy.quarantine;

import java.util.Set;

/**
 * Describes an attempt that was lost with its endpoint before an answer began. Immutable.
 *
 * @param endpoint the incarnation of the endpoint, of which all losses count as one crash
 * @param trial the holder of the trial if the attempt was sent as one, otherwise empty
 * @param isVouched whether the reporting node had seen answers under the part
 * @param others the other parts that were lost with the trial, empty if the attempt was none
 * @param lostMs when the attempt was lost, in monotonic milliseconds of the evaluating node
 */
public record EndpointLoss(
        String endpoint, String trial, boolean isVouched, Set<PromptPartKey> others, long lostMs) {

    /** Creates a loss with a copy of the other parts. */
    public EndpointLoss {
        others = Set.copyOf(others);
    }
}
