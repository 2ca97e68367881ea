package org.cardamomthread.policy.placement;

/**
 * Holds the endpoint that was chosen for a request, and why. Immutable.
 *
 * @param index the position of the endpoint in the list of candidates
 * @param expectedMs its expected time to the first token, in milliseconds
 * @param bestLocalIndex the position of the best endpoint of the gateway's own data centre, or -1
 *     if there is none
 * @param bestLocalMs the expected time of that endpoint, in milliseconds, or NaN if there is none
 * @param reason the reason for the choice of the data centre
 */
public record PlacementDecision(
        int index, double expectedMs, int bestLocalIndex, double bestLocalMs, Reason reason) {

    /** Tells why a data centre was chosen. */
    public enum Reason {
        /** No endpoint elsewhere was expected to be faster by more than the margin. */
        OWN_DATA_CENTRE,
        /** An endpoint elsewhere was expected to be faster by more than the margin. */
        FASTER_ELSEWHERE,
        /** The load elsewhere was not known, and the own data centre is under pressure. */
        PROBE_ELSEWHERE,
        /** There was no candidate in the own data centre. */
        NONE_IN_OWN_DATA_CENTRE
    }

    /**
     * Returns whether the chosen endpoint is in the gateway's data centre.
     *
     * @return true if it is
     */
    public boolean isLocal() {
        return reason == Reason.OWN_DATA_CENTRE;
    }
}
