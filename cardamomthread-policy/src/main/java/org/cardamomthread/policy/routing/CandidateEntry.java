package org.cardamomthread.policy.routing;

/**
 * Holds one endpoint of the index and its position among the available endpoints of its group.
 * Guarded by the lock of {@link CandidateIndex}.
 */
final class CandidateEntry {

    private final CandidateGroup group;
    private EndpointCandidate candidate;
    private int availableIndex = CandidateGroup.NOT_AVAILABLE;

    CandidateEntry(CandidateGroup group, EndpointCandidate candidate) {
        this.group = group;
        this.candidate = candidate;
        group.addMember();
    }

    /** Returns whether a candidate belongs to the group of this entry. */
    boolean hasSameGroupAs(EndpointCandidate other) {
        return candidate.version().equals(other.version()) && group.key().matches(other);
    }

    void update(EndpointCandidate newCandidate) {
        candidate = newCandidate;
        if (newCandidate.credits() > 0) {
            group.makeAvailable(this);
        } else {
            group.makeUnavailable(this);
        }
    }

    void removeFromGroup() {
        group.makeUnavailable(this);
        group.removeMember();
    }

    EndpointCandidate candidate() {
        return candidate;
    }

    CandidateGroup group() {
        return group;
    }

    int availableIndex() {
        return availableIndex;
    }

    void setAvailableIndex(int newIndex) {
        availableIndex = newIndex;
    }
}
