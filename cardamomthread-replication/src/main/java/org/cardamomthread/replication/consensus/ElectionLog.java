package org.cardamomthread.replication.consensus;

import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.VoteRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs a line for each decision of an election. The election timeout bounds the number of lines.
 * Not thread-safe.
 */
final class ElectionLog {

    private static final Logger LOG = LoggerFactory.getLogger(ElectionLog.class);

    private final ReplicaContext context;

    ElectionLog(ReplicaContext context) {
        this.context = context;
    }

    void electionStarted(long term, VoteRequest request) {
        event("election-started", term)
                .addKeyValue("preliminary", request.getPreliminary())
                .addKeyValue("lastTerm", request.getLastTerm())
                .addKeyValue("lastIndex", request.getLastIndex())
                .addKeyValue("voters", context.log().membership().voters())
                .log("requesting votes");
    }

    void voteGranted(NodeId candidate, long term, VoteRequest request) {
        event("vote-granted", term)
                .addKeyValue("candidate", candidate)
                .addKeyValue("preliminary", request.getPreliminary())
                .log("granted a vote");
    }

    void voteRefused(NodeId candidate, long term, VoteRequest request, String reason) {
        event("vote-refused", term)
                .addKeyValue("candidate", candidate)
                .addKeyValue("preliminary", request.getPreliminary())
                .addKeyValue("candidateLastTerm", request.getLastTerm())
                .addKeyValue("candidateLastIndex", request.getLastIndex())
                .addKeyValue("lastTerm", context.log().lastTerm())
                .addKeyValue("lastIndex", context.log().lastIndex())
                .addKeyValue("reason", reason)
                .log("refused a vote");
    }

    void voteReceived(VoterId voter, long term, boolean isGranted, boolean isCounted) {
        event("vote-received", term)
                .addKeyValue("voter", voter)
                .addKeyValue("granted", isGranted)
                .addKeyValue("counted", isCounted)
                .log("received the response to a vote request");
    }

    void leaderElected() {
        event("leader-elected", context.term()).log("became the leader");
    }

    void leaderSteppedDown(String reason) {
        event("leader-stepped-down", context.term())
                .addKeyValue("reason", reason)
                .log("is no longer the leader");
    }

    private LoggingEventBuilder event(String event, long term) {
        return LOG.atInfo()
                .addKeyValue("event", event)
                .addKeyValue("group", context.self().groupId())
                .addKeyValue("role", context.role())
                .addKeyValue("ownTerm", context.term())
                .addKeyValue("term", term);
    }
}
