package org.cardamomthread.policy.routing;

/** Holds one endpoint of the index and its place in its group. Guarded by the index. */
final class CandidateEntry {

    private final CandidateGroup group;
    private EndpointCandidate candidate;
    private int place = CandidateGroup.ABSENT;

    CandidateEntry(CandidateGroup group, EndpointCandidate candidate) {
        this.group = group;
        this.candidate = candidate;
        group.addMember();
    }

    /** Tells whether the candidate still belongs to this entry's group. */
    boolean belongsWith(EndpointCandidate other) {
        return candidate.version().equals(other.version()) && group.key().covers(other);
    }

    void update(EndpointCandidate newCandidate) {
        candidate = newCandidate;
        if (newCandidate.credits() > 0) {
            group.makeAvailable(this);
        } else {
            group.makeUnavailable(this);
        }
    }

    void leave() {
        group.makeUnavailable(this);
        group.removeMember();
    }

    EndpointCandidate candidate() {
        return candidate;
    }

    CandidateGroup group() {
        return group;
    }

    int place() {
        return place;
    }

    void setPlace(int newPlace) {
        place = newPlace;
    }
}
