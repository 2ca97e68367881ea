package org.cardamomthread.replication.consensus;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.Envelope;

/** Queues outgoing messages until the output of the replica is taken. Not thread-safe. */
final class Outbox {

    private final ReplicaIdentity self;
    private List<OutgoingReplicaMessage> immediate = new ArrayList<>();
    private List<OutgoingReplicaMessage> afterSync = new ArrayList<>();
    private List<OutgoingSnapshotChunk> snapshotChunks = new ArrayList<>();

    Outbox(ReplicaIdentity self) {
        this.self = self;
    }

    /** Creates an envelope; {@code to} is null if the identity of the receiver is not known. */
    Envelope.Builder newEnvelope(VoterId to, long term) {
        return Envelope.newBuilder()
                .setGroupId(self.groupId().value())
                .setFromVoter(self.voterId().value())
                .setFromNode(self.nodeId().value())
                .setToVoter(to == null ? "" : to.value())
                .setTerm(term);
    }

    void queueImmediate(NodeId to, Envelope.Builder message) {
        immediate.add(new OutgoingReplicaMessage(to, message.build()));
    }

    void queueAfterSync(NodeId to, Envelope.Builder message) {
        afterSync.add(new OutgoingReplicaMessage(to, message.build()));
    }

    void queueSnapshotChunk(NodeId to, Envelope.Builder message, int maxDataBytes) {
        snapshotChunks.add(
                new OutgoingSnapshotChunk(
                        new OutgoingReplicaMessage(to, message.build()), maxDataBytes));
    }

    List<OutgoingReplicaMessage> takeImmediate() {
        List<OutgoingReplicaMessage> taken = immediate;
        immediate = new ArrayList<>();
        return taken;
    }

    List<OutgoingReplicaMessage> takeAfterSync() {
        List<OutgoingReplicaMessage> taken = afterSync;
        afterSync = new ArrayList<>();
        return taken;
    }

    List<OutgoingSnapshotChunk> takeSnapshotChunks() {
        List<OutgoingSnapshotChunk> taken = snapshotChunks;
        snapshotChunks = new ArrayList<>();
        return taken;
    }
}
