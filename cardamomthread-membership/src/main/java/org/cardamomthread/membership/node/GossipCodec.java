package org.cardamomthread.membership.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.generated.DrainRecordMessage;
import org.cardamomthread.membership.generated.DrainRecords;
import org.cardamomthread.membership.generated.Gossip;
import org.cardamomthread.membership.generated.NodeEntries;
import org.cardamomthread.membership.generated.NodeEntryMessage;
import org.cardamomthread.membership.generated.PeerMessage;

/** Converts between gossip types and protocol messages. Stateless and thread-safe. */
final class GossipCodec {

    private GossipCodec() {}

    static PeerMessage gossipMessage(
            NodeDigest own, long highestRevision, Collection<NodeDigest> otherDigests) {
        Gossip.Builder gossip =
                Gossip.newBuilder()
                        .setIncarnation(own.incarnation())
                        .setHeartbeat(own.heartbeat())
                        .setEntrySequence(own.entrySequence())
                        .setRevision(own.revision())
                        .setDrainDigest(own.drainDigest())
                        .setHighestRevision(highestRevision);
        for (NodeDigest digest : otherDigests) {
            gossip.addDigestKeys(digest.key())
                    .addDigestIncarnations(digest.incarnation())
                    .addDigestHeartbeats(digest.heartbeat())
                    .addDigestEntrySequences(digest.entrySequence())
                    .addDigestRevisions(digest.revision())
                    .addDigestDrainDigests(digest.drainDigest());
        }
        return PeerMessage.newBuilder().setGossip(gossip).build();
    }

    static NodeDigest toSenderDigest(NodeId from, Gossip gossip) {
        return new NodeDigest(
                NodeDigest.keyOf(from),
                gossip.getIncarnation(),
                gossip.getHeartbeat(),
                gossip.getEntrySequence(),
                gossip.getRevision(),
                gossip.getDrainDigest());
    }

    /** Returns the digests in a message, or none if its parallel fields differ in length. */
    static List<NodeDigest> toDigests(Gossip gossip) {
        int count = gossip.getDigestKeysCount();
        List<NodeDigest> digests = new ArrayList<>(count);
        if (gossip.getDigestIncarnationsCount() != count
                || gossip.getDigestHeartbeatsCount() != count
                || gossip.getDigestEntrySequencesCount() != count
                || gossip.getDigestRevisionsCount() != count
                || gossip.getDigestDrainDigestsCount() != count) {
            return digests;
        }
        for (int i = 0; i < count; i++) {
            digests.add(
                    new NodeDigest(
                            gossip.getDigestKeys(i),
                            gossip.getDigestIncarnations(i),
                            gossip.getDigestHeartbeats(i),
                            gossip.getDigestEntrySequences(i),
                            gossip.getDigestRevisions(i),
                            gossip.getDigestDrainDigests(i)));
        }
        return digests;
    }

    static PeerMessage entriesMessage(Collection<NodeEntry> entries) {
        NodeEntries.Builder message = NodeEntries.newBuilder();
        for (NodeEntry entry : entries) {
            message.addEntries(toMessage(entry));
        }
        return PeerMessage.newBuilder().setNodeEntries(message).build();
    }

    static NodeEntry toEntry(NodeEntryMessage message) {
        String leaderHint = message.getLeaderHint();
        return new NodeEntry(
                new NodeId(message.getId()),
                message.getIncarnation(),
                message.getEntrySequence(),
                new DataCentreId(message.getDataCentre()),
                new NodeAddresses(
                        message.getCallerAddress(),
                        message.getEndpointAddress(),
                        message.getOperatorAddress(),
                        message.getPeerAddress()),
                message.getVoter(),
                leaderHint.isEmpty() ? Optional.empty() : Optional.of(new NodeId(leaderHint)),
                message.getLeaving());
    }

    static PeerMessage drainRecordsMessage(Collection<DrainRecord> records) {
        DrainRecords.Builder message = DrainRecords.newBuilder();
        for (DrainRecord record : records) {
            message.addRecords(
                    DrainRecordMessage.newBuilder()
                            .setDataCentre(record.dataCentre().value())
                            .setEpoch(record.epoch())
                            .setOut(record.drained()));
        }
        return PeerMessage.newBuilder().setDrainRecords(message).build();
    }

    static DrainRecord toDrainRecord(DrainRecordMessage message) {
        return new DrainRecord(
                new DataCentreId(message.getDataCentre()), message.getEpoch(), message.getOut());
    }

    private static NodeEntryMessage toMessage(NodeEntry entry) {
        return NodeEntryMessage.newBuilder()
                .setId(entry.id().value())
                .setIncarnation(entry.incarnation())
                .setEntrySequence(entry.entrySequence())
                .setDataCentre(entry.dataCentre().value())
                .setCallerAddress(entry.addresses().callerAddress())
                .setEndpointAddress(entry.addresses().endpointAddress())
                .setOperatorAddress(entry.addresses().operatorAddress())
                .setPeerAddress(entry.addresses().peerAddress())
                .setVoter(entry.voter())
                .setLeaderHint(entry.leaderHint().map(NodeId::value).orElse(""))
                .setLeaving(entry.leaving())
                .build();
    }
}
