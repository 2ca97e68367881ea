package org.cardamomthread.replication.consensus;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.Envelope;

/** Collects messages until the driver takes them. Used by one thread at a time. */
final class Outbox {

    private final ReplicaIdentity self;
    private List<OutgoingMessage> immediate = new ArrayList<>();
    private List<OutgoingMessage> afterSync = new ArrayList<>();
    private List<OutgoingChunk> chunks = new ArrayList<>();

    Outbox(ReplicaIdentity self) {
        this.self = self;
    }

    Envelope.Builder envelope(VoterId to, long term) {
        return Envelope.newBuilder()
                .setGroupId(self.groupId().value())
                .setFromVoter(self.voterId().value())
                .setFromNode(self.nodeId().value())
                .setToVoter(to == null ? "" : to.value())
                .setTerm(term);
    }

    void sendNow(NodeId to, Envelope.Builder message) {
        immediate.add(new OutgoingMessage(to, message.build()));
    }

    void sendAfterSync(NodeId to, Envelope.Builder message) {
        afterSync.add(new OutgoingMessage(to, message.build()));
    }

    void sendChunk(NodeId to, Envelope.Builder message, int length) {
        chunks.add(new OutgoingChunk(new OutgoingMessage(to, message.build()), length));
    }

    List<OutgoingMessage> takeImmediate() {
        List<OutgoingMessage> taken = immediate;
        immediate = new ArrayList<>();
        return taken;
    }

    List<OutgoingMessage> takeAfterSync() {
        List<OutgoingMessage> taken = afterSync;
        afterSync = new ArrayList<>();
        return taken;
    }

    List<OutgoingChunk> takeChunks() {
        List<OutgoingChunk> taken = chunks;
        chunks = new ArrayList<>();
        return taken;
    }
}
