package org.cardamomthread.replication.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.OutcomeUnknownException;
import org.cardamomthread.replication.consensus.LogPosition;
import org.cardamomthread.replication.generated.Entry;

/** Holds the proposals of this replica that wait for their commit. Used by one thread at a time. */
final class PendingProposals {

    private static final byte[] EMPTY_RESULT = new byte[0];

    private final GroupId groupId;
    private final TreeMap<Long, PendingProposal> proposalsByIndex = new TreeMap<>();

    /** Holds one proposal. */
    private record PendingProposal(long term, CompletableFuture<byte[]> future) {}

    PendingProposals(GroupId groupId) {
        this.groupId = groupId;
    }

    void add(LogPosition position, CompletableFuture<byte[]> future) {
        proposalsByIndex.put(position.index(), new PendingProposal(position.term(), future));
    }

    void complete(Entry entry, byte[] answer) {
        PendingProposal pending = proposalsByIndex.remove(entry.getIndex());
        if (pending == null) {
            return;
        }
        if (pending.term() == entry.getTerm()) {
            pending.future().complete(answer == null ? EMPTY_RESULT : answer);
        } else {
            pending.future()
                    .completeExceptionally(
                            new OutcomeUnknownException(groupId, "another leader took its place"));
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
        for (PendingProposal pending : all) {
            pending.future().completeExceptionally(new OutcomeUnknownException(groupId, reason));
        }
    }
}
