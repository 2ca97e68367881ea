package org.cardamomthread.policy.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * Holds the result of an endpoint selection: an endpoint with its score, or a refusal.
 *
 * <p>Immutable and thread-safe. Exactly one of the two is present.
 */
public final class Selection {

    private final EndpointCandidate selected;
    private final CandidateScore score;
    private final SelectionRefusal refusal;

    private Selection(EndpointCandidate selected, CandidateScore score, SelectionRefusal refusal) {
        this.selected = selected;
        this.score = score;
        this.refusal = refusal;
    }

    /**
     * Creates the result for a selected endpoint.
     *
     * @param endpoint selected endpoint
     * @param score score of the endpoint
     * @return result without a refusal
     */
    public static Selection selected(EndpointCandidate endpoint, CandidateScore score) {
        return new Selection(
                Objects.requireNonNull(endpoint, "endpoint must not be null"),
                Objects.requireNonNull(score, "score must not be null"),
                null);
    }

    /**
     * Creates the result for a refusal.
     *
     * @param refusal reason why no endpoint was selected
     * @return result without an endpoint
     */
    public static Selection refused(SelectionRefusal refusal) {
        return new Selection(
                null, null, Objects.requireNonNull(refusal, "refusal must not be null"));
    }

    /**
     * Returns the selected endpoint.
     *
     * @return the endpoint, or empty after a refusal
     */
    public Optional<EndpointCandidate> selected() {
        return Optional.ofNullable(selected);
    }

    /**
     * Returns the score of the selected endpoint.
     *
     * @return the score, or empty after a refusal
     */
    public Optional<CandidateScore> score() {
        return Optional.ofNullable(score);
    }

    /**
     * Returns the refusal.
     *
     * @return refusal, or empty if an endpoint was selected
     */
    public Optional<SelectionRefusal> refusal() {
        return Optional.ofNullable(refusal);
    }
}
