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

    private static final byte[] NO_ANSWER = new byte[0];

    private final GroupId groupId;
    private final TreeMap<Long, Pending> byIndex = new TreeMap<>();

    /** Holds one proposal. */
    private record Pending(long term, CompletableFuture<byte[]> future) {}

    PendingProposals(GroupId groupId) {
        this.groupId = groupId;
    }

    void add(LogPosition position, CompletableFuture<byte[]> future) {
        byIndex.put(position.index(), new Pending(position.term(), future));
    }

    void complete(Entry entry, byte[] answer) {
        Pending pending = byIndex.remove(entry.getIndex());
        if (pending == null) {
            return;
        }
        if (pending.term() == entry.getTerm()) {
            pending.future().complete(answer == null ? NO_ANSWER : answer);
        } else {
            pending.future()
                    .completeExceptionally(
                            new OutcomeUnknownException(groupId, "another leader took its place"));
        }
    }

    boolean isEmpty() {
        return byIndex.isEmpty();
    }

    long term() {
        return byIndex.lastEntry().getValue().term();
    }

    void failAll(String reason) {
        List<Pending> all = new ArrayList<>(byIndex.values());
        byIndex.clear();
        for (Pending pending : all) {
            pending.future().completeExceptionally(new OutcomeUnknownException(groupId, reason));
        }
    }
}
