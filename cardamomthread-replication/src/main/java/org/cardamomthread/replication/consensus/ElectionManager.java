package org.cardamomthread.replication.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.Envelope;
import org.cardamomthread.replication.generated.VoteRequest;
import org.cardamomthread.replication.generated.VoteResponse;

/**
 * Requests votes as a candidate and grants votes to other candidates.
 *
 * <p>Invariants: no vote is granted while the lease of the current leader may depend on this voter;
 * only voters of the latest membership are counted, by the identity of their data folder. Not
 * thread-safe.
 */
final class ElectionManager {

    private final ReplicaContext context;
    private final ElectionLog log;
    private final Set<VoterId> grantingVoters = new HashSet<>();

    ElectionManager(ReplicaContext context, ElectionLog log) {
        this.context = context;
        this.log = log;
    }

    /**
     * Starts a preliminary vote if the election timeout has passed.
     *
     * @return true if this replica has already won the election because it is the only voter
     */
    boolean tick() {
        if (context.role() == ReplicaRole.LEADER
                || !context.mayCampaign()
                || !context.isElectionDue()) {
            return false;
        }
        context.setRole(ReplicaRole.PRE_CANDIDATE);
        context.setLeader(null);
        return requestVotes(true, context.term() + 1);
    }

    private boolean requestVotes(boolean preliminary, long term) {
        context.resetElectionDeadline();
        grantingVoters.clear();
        grantingVoters.add(context.self().voterId());
        VoteRequest request =
                VoteRequest.newBuilder()
                        .setLastIndex(context.log().lastIndex())
                        .setLastTerm(context.log().lastTerm())
                        .setPreliminary(preliminary)
                        .build();
        log.electionStarted(term, request);
        for (ReplicaMember voter : context.log().membership().voters()) {
            if (!voter.voterId().equals(context.self().voterId())) {
                Envelope.Builder envelope = context.outbox().newEnvelope(voter.voterId(), term);
                context.outbox().queueAfterSync(voter.nodeId(), envelope.setVoteRequest(request));
            }
        }
        return advanceIfMajorityGranted();
    }

    private boolean advanceIfMajorityGranted() {
        long grantedVotes =
                context.log().membership().voters().stream()
                        .filter(voter -> grantingVoters.contains(voter.voterId()))
                        .count();
        if (grantedVotes < context.log().membership().majoritySize()) {
            return false;
        }
        if (context.role() == ReplicaRole.CANDIDATE) {
            return true;
        }
        context.enterTerm(context.term() + 1);
        context.recordVoteFor(context.self().voterId());
        context.setRole(ReplicaRole.CANDIDATE);
        return requestVotes(false, context.term());
    }

    /** Responds to a vote request; unlike for other messages, a later term is adopted only here. */
    void onVoteRequest(VoterId candidate, NodeId candidateNode, Envelope envelope) {
        VoteRequest request = envelope.getVoteRequest();
        if (!context.mayGrantVote()) {
            log.voteRefused(
                    candidateNode, envelope.getTerm(), request, "a leader was heard of recently");
            return;
        }
        if (!request.getPreliminary()) {
            adoptTermOfCandidate(envelope.getTerm());
        }
        Optional<String> refusal = findRefusal(candidate, envelope.getTerm(), request);
        if (refusal.isPresent()) {
            log.voteRefused(candidateNode, envelope.getTerm(), request, refusal.get());
        } else {
            log.voteGranted(candidateNode, envelope.getTerm(), request);
            if (!request.getPreliminary()) {
                context.recordVoteFor(candidate);
                context.resetElectionDeadline();
            }
        }
        long term = refusal.isEmpty() ? envelope.getTerm() : context.term();
        VoteResponse response =
                VoteResponse.newBuilder()
                        .setGranted(refusal.isEmpty())
                        .setPreliminary(request.getPreliminary())
                        .build();
        context.outbox()
                .queueAfterSync(
                        candidateNode,
                        context.outbox().newEnvelope(candidate, term).setVoteResponse(response));
    }

    private void adoptTermOfCandidate(long term) {
        if (term > context.term()) {
            context.enterTerm(term);
            context.setRole(ReplicaRole.FOLLOWER);
        }
    }

    /** Returns the reason why a vote is refused, or empty if it is granted. */
    private Optional<String> findRefusal(VoterId candidate, long term, VoteRequest request) {
        boolean isTermAcceptable =
                request.getPreliminary() ? term > context.term() : term == context.term();
        if (!isTermAcceptable) {
            return Optional.of("the term is not current");
        }
        if (!request.getPreliminary() && !context.mayVoteFor(candidate)) {
            return Optional.of("this voter has voted for another candidate in the term");
        }
        return isUpToDate(request)
                ? Optional.empty()
                : Optional.of("the candidate's log is behind");
    }

    private boolean isUpToDate(VoteRequest request) {
        long lastTerm = context.log().lastTerm();
        return request.getLastTerm() > lastTerm
                || request.getLastTerm() == lastTerm
                        && request.getLastIndex() >= context.log().lastIndex();
    }

    /**
     * Counts a vote if it belongs to the current election.
     *
     * @return true if this replica has won the election
     */
    boolean onVoteResponse(VoterId voter, Envelope envelope) {
        VoteResponse response = envelope.getVoteResponse();
        ReplicaRole expectedRole =
                response.getPreliminary() ? ReplicaRole.PRE_CANDIDATE : ReplicaRole.CANDIDATE;
        long expectedTerm = response.getPreliminary() ? context.term() + 1 : context.term();
        boolean isCounted =
                response.getGranted()
                        && context.role() == expectedRole
                        && envelope.getTerm() == expectedTerm;
        log.voteReceived(voter, envelope.getTerm(), response.getGranted(), isCounted);
        if (!isCounted) {
            return false;
        }
        grantingVoters.add(voter);
        return advanceIfMajorityGranted();
    }
}
