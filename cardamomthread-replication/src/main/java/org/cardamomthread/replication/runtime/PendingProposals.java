package org.cardamomthread.replication.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.OutcomeUnknownException;
import org.cardamomthread.replication.consensus.LogPosition;
import org.cardamomthread.replication.generated.Entry;

/** Holds the futures of proposals that are appended but not yet committed. Not thread-safe. */
final class PendingProposals {

    private static final byte[] EMPTY_RESULT = new byte[0];

    private final GroupId groupId;
    private final TreeMap<Long, PendingProposal> proposalsByIndex = new TreeMap<>();

    /** Holds the term in which a command was appended, and its future. */
    private record PendingProposal(long term, CompletableFuture<byte[]> future) {}

    PendingProposals(GroupId groupId) {
        this.groupId = groupId;
    }

    void add(LogPosition position, CompletableFuture<byte[]> future) {
        proposalsByIndex.put(position.index(), new PendingProposal(position.term(), future));
    }

    void complete(Entry entry, byte[] result) {
        PendingProposal proposal = proposalsByIndex.remove(entry.getIndex());
        if (proposal == null) {
            return;
        }
        if (proposal.term() == entry.getTerm()) {
            proposal.future().complete(result == null ? EMPTY_RESULT : result);
        } else {
            proposal.future()
                    .completeExceptionally(
                            new OutcomeUnknownException(
                                    groupId, "another leader replaced its log entry"));
        }
    }

    boolean isEmpty() {
        return proposalsByIndex.isEmpty();
    }

    long latestTerm() {
        return proposalsByIndex.lastEntry().getValue().term();
    }

    void failAll(String reason) {
        List<PendingProposal> all = new ArrayList<>(proposalsByIndex.values());
        proposalsByIndex.clear();
        for (PendingProposal proposal : all) {
            proposal.future().completeExceptionally(new OutcomeUnknownException(groupId, reason));
        }
    }
}
