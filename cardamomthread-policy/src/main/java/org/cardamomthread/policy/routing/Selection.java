package org.cardamomthread.policy.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds the outcome of a choice: an endpoint with its score, or a refusal.
 *
 * <p>Immutable and safe for use by several threads. Exactly one of the two is present.
 */
public final class Selection {

    private final EndpointCandidate chosen;
    private final CandidateScore score;
    private final SelectionRefusal refusal;

    private Selection(EndpointCandidate chosen, CandidateScore score, SelectionRefusal refusal) {
        this.chosen = chosen;
        this.score = score;
        this.refusal = refusal;
    }

    /**
     * Creates the outcome for a chosen endpoint.
     *
     * @param chosen the endpoint
     * @param score how it was judged
     * @return the outcome
     */
    public static Selection chosen(EndpointCandidate chosen, CandidateScore score) {
        return new Selection(
                Objects.requireNonNull(chosen, "chosen must be given"),
                Objects.requireNonNull(score, "score must be given"),
                null);
    }

    /**
     * Creates the outcome for a refusal.
     *
     * @param refusal why nothing was chosen
     * @return the outcome
     */
    public static Selection refused(SelectionRefusal refusal) {
        return new Selection(null, null, Objects.requireNonNull(refusal, "refusal must be given"));
    }

    /**
     * Returns the chosen endpoint.
     *
     * @return the endpoint, or empty after a refusal
     */
    public Optional<EndpointCandidate> chosen() {
        return Optional.ofNullable(chosen);
    }

    /**
     * Returns how the chosen endpoint was judged.
     *
     * @return the score, or empty after a refusal
     */
    public Optional<CandidateScore> score() {
        return Optional.ofNullable(score);
    }

    /**
     * Returns why nothing was chosen.
     *
     * @return the refusal, or empty if an endpoint was chosen
     */
    public Optional<SelectionRefusal> refusal() {
        return Optional.ofNullable(refusal);
    }
}
